package io.lycheejunction.core.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Validates groups before they are added to a configuration. */
final class GroupRules {
  private GroupRules() {}

  /**
   * Returns the first rule that a group violates.
   *
   * @param configuration the configuration that the group would be added to
   * @param group the group to validate
   * @return a one-line description, or empty if the group is valid
   */
  static Optional<String> violation(Configuration configuration, GroupSpec group) {
    return Limits.nameViolation("group", group.name())
        .or(() -> Limits.rangeViolation("targets", group.targets().size(), 1, Limits.MAX_TARGETS))
        .or(() -> Limits.rangeViolation("slots", group.slotsPerTarget(), 1, Limits.MAX_SLOTS))
        .or(
            () ->
                Limits.rangeViolation(
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
        other.targets().forEach(target -> names.add(target.name()));
        other.targets().forEach(target -> addresses.add(target.address()));
      }
    }
    for (TargetSpec target : group.targets()) {
      Optional<String> violation =
          Limits.nameViolation("target", target.name())
              .or(() -> Limits.nameViolation("failure domain", target.failureDomain()))
              .or(() -> Limits.addressViolation(target.address()));
      if (violation.isPresent()) {
        return violation;
      }
      if (!names.add(target.name())) {
        return Optional.of("target " + target.name() + " already exists");
      }
      if (!addresses.add(target.address())) {
        return Optional.of("address " + target.address() + " belongs to another target");
      }
    }
    return Optional.empty();
  }

  /**
   * Returns why a membership change could allow two disjoint majorities.
   *
   * <p>Every majority of the old instances must have an instance in common with every majority of
   * the new ones. A change that adds or removes at most one instance guarantees this.
   *
   * @param before the instances before the change
   * @param after the instances after the change
   * @return a one-line description, or empty if the change is safe
   */
  static Optional<String> unsafeMembershipChange(List<TargetSpec> before, List<TargetSpec> after) {
    Set<TargetSpec> added = new HashSet<>(after);
    before.forEach(added::remove);
    Set<TargetSpec> removed = new HashSet<>(before);
    after.forEach(removed::remove);
    return added.size() + removed.size() > 1
        ? Optional.of(
            "targets: a change may add or remove at most one target; this one adds "
                + added.size()
                + " and removes "
                + removed.size())
        : Optional.empty();
  }
}
