package io.lycheejunction.core.configuration;

import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** Applies changes to configurations. */
public final class ConfigurationRules {
  private static final int DEFAULT_WEIGHT = 1;

  private ConfigurationRules() {}

  /**
   * Returns the configuration after a change, one version later.
   *
   * @param before the configuration
   * @param change the change
   * @return the new configuration, or {@code INVALID_CHANGE}
   */
  public static Result<Configuration> apply(Configuration before, Change change) {
    return switch (change) {
      case Change.CreateGroup create -> createGroup(before, create);
      case Change.AlterGroup alter -> alterGroup(before, alter);
      case Change.DropGroup(String name) -> dropGroup(before, name);
      case Change.CreateService create -> createService(before, create);
      case Change.AlterService(String name, ServiceRules rules) ->
          alterService(before, name, rules);
      case Change.DropService(String name) -> dropService(before, name);
      case Change.DrainTarget(String target, boolean drained) ->
          drainTarget(before, target, drained);
    };
  }

  private static Result<Configuration> createGroup(Configuration before, Change.CreateGroup c) {
    if (before.group(c.name()).isPresent()) {
      return invalid("group " + c.name() + " exists");
    }
    return withGroup(
        before, new GroupSpec(c.name(), c.targets(), c.slots(), c.connections(), Set.of()));
  }

  private static Result<Configuration> alterGroup(Configuration before, Change.AlterGroup c) {
    Optional<GroupSpec> found = before.group(c.name());
    if (found.isEmpty()) {
      return invalid("no group " + c.name());
    }
    GroupSpec old = found.get();
    List<TargetSpec> targets = c.targets().orElse(old.targets());
    Optional<String> unsafe = GroupRules.unsafeStep(old.targets(), targets);
    if (unsafe.isPresent()) {
      return invalid(unsafe.get());
    }
    Set<String> names = targets.stream().map(TargetSpec::name).collect(Collectors.toSet());
    Set<String> drained = new TreeSet<>(old.drained());
    drained.retainAll(names);
    return withGroup(
        before,
        new GroupSpec(
            old.name(),
            targets,
            c.slots().orElse(old.slotsPerTarget()),
            c.connections().orElse(old.connectionsPerTarget()),
            drained));
  }

  private static Result<Configuration> withGroup(Configuration before, GroupSpec group) {
    Optional<String> violation = GroupRules.violation(before, group);
    if (violation.isPresent()) {
      return invalid(violation.get());
    }
    Map<String, GroupSpec> groups = new HashMap<>(before.groups());
    groups.put(group.name(), group);
    return next(before, groups, before.services());
  }

  private static Result<Configuration> dropGroup(Configuration before, String name) {
    if (before.group(name).isEmpty()) {
      return invalid("no group " + name);
    }
    for (ServiceSpec service : before.services().values()) {
      if (service.group().equals(name)) {
        return invalid("service " + service.name() + " uses group " + name);
      }
    }
    Map<String, GroupSpec> groups = new HashMap<>(before.groups());
    groups.remove(name);
    return next(before, groups, before.services());
  }

  private static Result<Configuration> createService(Configuration before, Change.CreateService c) {
    if (before.service(c.name()).isPresent()) {
      return invalid("service " + c.name() + " exists");
    }
    if (before.group(c.group()).isEmpty()) {
      return invalid("no group " + c.group());
    }
    ServiceSpec plain =
        new ServiceSpec(
            c.name(), c.group(), Durability.MAJORITY, 0, CutOffReads.REFUSE, DEFAULT_WEIGHT);
    return withService(before, c.rules().over(plain));
  }

  private static Result<Configuration> alterService(
      Configuration before, String name, ServiceRules rules) {
    Optional<ServiceSpec> found = before.service(name);
    return found.isEmpty()
        ? invalid("no service " + name)
        : withService(before, rules.over(found.get()));
  }

  private static Result<Configuration> withService(Configuration before, ServiceSpec service) {
    Optional<String> violation =
        Limits.name("service", service.name())
            .or(() -> Limits.range("max_age", service.maxAgeMs(), 0, Limits.MAX_AGE_LIMIT_MS))
            .or(() -> Limits.range("weight", service.weight(), 1, Limits.MAX_WEIGHT));
    if (violation.isPresent()) {
      return invalid(violation.get());
    }
    Map<String, ServiceSpec> services = new HashMap<>(before.services());
    services.put(service.name(), service);
    return next(before, before.groups(), services);
  }

  private static Result<Configuration> dropService(Configuration before, String name) {
    if (before.service(name).isEmpty()) {
      return invalid("no service " + name);
    }
    Map<String, ServiceSpec> services = new HashMap<>(before.services());
    services.remove(name);
    return next(before, before.groups(), services);
  }

  private static Result<Configuration> drainTarget(
      Configuration before, String target, boolean drained) {
    Optional<GroupSpec> found = before.groupWith(target);
    if (found.isEmpty()) {
      return invalid("no target " + target);
    }
    GroupSpec group = found.get();
    Set<String> names = new TreeSet<>(group.drained());
    boolean changed = drained ? names.add(target) : names.remove(target);
    if (!changed) {
      return invalid("target " + target + (drained ? " is drained already" : " is not drained"));
    }
    Map<String, GroupSpec> groups = new HashMap<>(before.groups());
    groups.put(
        group.name(),
        new GroupSpec(
            group.name(),
            group.targets(),
            group.slotsPerTarget(),
            group.connectionsPerTarget(),
            names));
    return next(before, groups, before.services());
  }

  private static Result<Configuration> next(
      Configuration before, Map<String, GroupSpec> groups, Map<String, ServiceSpec> services) {
    return Result.success(new Configuration(before.version() + 1, groups, services));
  }

  private static Result<Configuration> invalid(String detail) {
    return Result.failure(ResultCode.INVALID_CHANGE, detail);
  }
}
