package io.lycheejunction.core.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Checks groups before they enter a configuration. */
final class GroupRules {
  private GroupRules() {}

  /**
   * Returns what is wrong with a group.
   *
   * @param configuration the configuration that the group would enter
   * @param group the group
   * @return one line, or empty if the group is allowed
   */
  static Optional<String> violation(Configuration configuration, GroupSpec group) {
    return Limits.name("group", group.name())
        .or(() -> Limits.range("targets", group.targets().size(), 1, Limits.MAX_TARGETS))
        .or(() -> Limits.range("slots", group.slotsPerTarget(), 1, Limits.MAX_SLOTS))
        .or(
            () ->
                Limits.range(
                    "connections",
                    group.connectionsPerTarget(),
                    group.slotsPerTarget(),
                    Limits.MAX_CONNECTIONS))
        .or(() -> targetViolation(configuration, group));
  }

  private static Optional<String> targetViolation(Configuration configuration, GroupSpec group) {
    Set<String> names = new HashSet<>();
    Set<String> addresses = new HashSet<>();
    for (GroupSpec other : configuration.groups().values()) {
      if (!other.name().equals(group.name())) {
        other.targets().forEach(t -> names.add(t.name()));
        other.targets().forEach(t -> addresses.add(t.address()));
      }
    }
    for (TargetSpec target : group.targets()) {
      Optional<String> violation =
          Limits.name("target", target.name())
              .or(() -> Limits.name("failure domain", target.failureDomain()))
              .or(() -> Limits.address(target.address()));
      if (violation.isPresent()) {
        return violation;
      }
      if (!names.add(target.name())) {
        return Optional.of("target " + target.name() + " exists already");
      }
      if (!addresses.add(target.address())) {
        return Optional.of("address " + target.address() + " belongs to another target");
      }
    }
    return Optional.empty();
  }

  /**
   * Returns why a change of a group's instances could split its majorities.
   *
   * <p>Every majority of the old instances must share one with every majority of the new ones, so
   * at most one instance is added or removed at a time.
   *
   * @param before the instances before
   * @param after the instances after
   * @return one line, or empty if the step is safe
   */
  static Optional<String> unsafeStep(List<TargetSpec> before, List<TargetSpec> after) {
    Set<TargetSpec> added = new HashSet<>(after);
    before.forEach(added::remove);
    Set<TargetSpec> removed = new HashSet<>(before);
    after.forEach(removed::remove);
    return added.size() + removed.size() > 1
        ? Optional.of(
            "targets: one may be added or removed in one change, this adds "
                + added.size()
                + " and removes "
                + removed.size())
        : Optional.empty();
  }
}
