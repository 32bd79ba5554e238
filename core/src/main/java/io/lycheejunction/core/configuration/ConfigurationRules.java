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
   * Returns the configuration after a change, at the next version.
   *
   * @param before the configuration before the change
   * @param change the change
   * @return the new configuration, or {@code INVALID_CHANGE} if the change violates a rule
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

  private static Result<Configuration> createGroup(
      Configuration before, Change.CreateGroup change) {
    if (before.group(change.name()).isPresent()) {
      return invalid("group " + change.name() + " already exists");
    }
    return withGroup(
        before,
        new GroupSpec(
            change.name(), change.targets(), change.slots(), change.connections(), Set.of()));
  }

  private static Result<Configuration> alterGroup(Configuration before, Change.AlterGroup change) {
    Optional<GroupSpec> found = before.group(change.name());
    if (found.isEmpty()) {
      return invalid("no group " + change.name());
    }
    GroupSpec old = found.get();
    List<TargetSpec> targets = change.targets().orElse(old.targets());
    Optional<String> violation = GroupRules.unsafeMembershipChange(old.targets(), targets);
    if (violation.isPresent()) {
      return invalid(violation.get());
    }
    Set<String> names = targets.stream().map(TargetSpec::name).collect(Collectors.toSet());
    Set<String> drained = new TreeSet<>(old.drained());
    drained.retainAll(names);
    return withGroup(
        before,
        new GroupSpec(
            old.name(),
            targets,
            change.slots().orElse(old.slotsPerTarget()),
            change.connections().orElse(old.connectionsPerTarget()),
            drained));
  }

  private static Result<Configuration> withGroup(Configuration before, GroupSpec group) {
    Optional<String> violation = GroupRules.violation(before, group);
    if (violation.isPresent()) {
      return invalid(violation.get());
    }
    Map<String, GroupSpec> groups = new HashMap<>(before.groups());
    groups.put(group.name(), group);
    return nextVersion(before, groups, before.services());
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
    return nextVersion(before, groups, before.services());
  }

  private static Result<Configuration> createService(
      Configuration before, Change.CreateService change) {
    if (before.service(change.name()).isPresent()) {
      return invalid("service " + change.name() + " already exists");
    }
    if (before.group(change.group()).isEmpty()) {
      return invalid("no group " + change.group());
    }
    ServiceSpec defaults =
        new ServiceSpec(
            change.name(),
            change.group(),
            Durability.MAJORITY,
            0,
            CutOffReads.REFUSE,
            DEFAULT_WEIGHT);
    return withService(before, change.rules().applyTo(defaults));
  }

  private static Result<Configuration> alterService(
      Configuration before, String name, ServiceRules rules) {
    Optional<ServiceSpec> found = before.service(name);
    return found.isEmpty()
        ? invalid("no service " + name)
        : withService(before, rules.applyTo(found.get()));
  }

  private static Result<Configuration> withService(Configuration before, ServiceSpec service) {
    Optional<String> violation =
        Limits.nameViolation("service", service.name())
            .or(
                () ->
                    Limits.rangeViolation(
                        "max_age", service.maxAgeMs(), 0, Limits.MAX_AGE_LIMIT_MS))
            .or(() -> Limits.rangeViolation("weight", service.weight(), 1, Limits.MAX_WEIGHT));
    if (violation.isPresent()) {
      return invalid(violation.get());
    }
    Map<String, ServiceSpec> services = new HashMap<>(before.services());
    services.put(service.name(), service);
    return nextVersion(before, before.groups(), services);
  }

  private static Result<Configuration> dropService(Configuration before, String name) {
    if (before.service(name).isEmpty()) {
      return invalid("no service " + name);
    }
    Map<String, ServiceSpec> services = new HashMap<>(before.services());
    services.remove(name);
    return nextVersion(before, before.groups(), services);
  }

  private static Result<Configuration> drainTarget(
      Configuration before, String target, boolean drained) {
    Optional<GroupSpec> found = before.groupOfTarget(target);
    if (found.isEmpty()) {
      return invalid("no target " + target);
    }
    GroupSpec group = found.get();
    Set<String> names = new TreeSet<>(group.drained());
    boolean changed = drained ? names.add(target) : names.remove(target);
    if (!changed) {
      return invalid("target " + target + (drained ? " is already drained" : " is not drained"));
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
    return nextVersion(before, groups, before.services());
  }

  private static Result<Configuration> nextVersion(
      Configuration before, Map<String, GroupSpec> groups, Map<String, ServiceSpec> services) {
    return Result.success(new Configuration(before.version() + 1, groups, services));
  }

  private static Result<Configuration> invalid(String detail) {
    return Result.failure(ResultCode.INVALID_CHANGE, detail);
  }
}
