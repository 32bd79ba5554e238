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
 * @param slotsPerTarget the maximum number of statements that one instance runs concurrently
 * @param connectionsPerTarget the maximum number of open sessions on one instance
 * @param drained the names of the targets that an operator has drained
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
   * Returns the smallest number of instances that forms a majority.
   *
   * @return more than half of the number of instances
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
    return targets.stream().filter(target -> target.name().equals(targetName)).findFirst();
  }
}
