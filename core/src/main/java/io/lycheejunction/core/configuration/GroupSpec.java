package io.lycheejunction.core.configuration;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * A database group: one primary and its replicas.
 *
 * @param name the name of the group
 * @param targets the group's instances
 * @param slotsPerTarget the statements that one instance runs at once
 * @param connectionsPerTarget the open sessions that one instance allows
 * @param drained the names of targets that an operator has taken out of service
 */
public record GroupSpec(
    String name,
    List<TargetSpec> targets,
    int slotsPerTarget,
    int connectionsPerTarget,
    Set<String> drained) {
  /** Rejects null components and copies the collections. */
  public GroupSpec {
    Objects.requireNonNull(name, "name is null");
    targets = List.copyOf(targets);
    drained = Set.copyOf(drained);
  }

  /**
   * Returns the smallest number of instances that is more than half.
   *
   * @return the size of a majority
   */
  public int majority() {
    return targets.size() / 2 + 1;
  }

  /**
   * Returns the instance of the given name.
   *
   * @param targetName the name of the instance
   * @return the instance, or empty if the group has none of that name
   */
  public Optional<TargetSpec> target(String targetName) {
    return targets.stream().filter(t -> t.name().equals(targetName)).findFirst();
  }
}
