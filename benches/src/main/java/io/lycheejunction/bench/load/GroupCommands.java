package io.lycheejunction.bench.load;

import io.lycheejunction.core.configuration.TargetSpec;
import java.util.stream.Collectors;

/** Writes the operator commands that put a group of the stand-in and its service in force. */
public final class GroupCommands {
  /** The name of the service of a group is this prefix and the group's name. */
  public static final String SERVICE_PREFIX = "orders-";

  private GroupCommands() {}

  /**
   * Returns the command that creates a group.
   *
   * @param group the group
   * @return the command
   */
  public static String createGroup(PlatformClient.Group group) {
    String targets =
        group.targets().stream().map(GroupCommands::target).collect(Collectors.joining(", "));
    return "create group %s targets (%s) slots %d connections %d"
        .formatted(group.name(), targets, group.slots(), group.connections());
  }

  private static String target(TargetSpec target) {
    return "%s in %s at %s".formatted(target.name(), target.failureDomain(), target.address());
  }

  /**
   * Returns the command that creates the service of a group.
   *
   * @param group the group
   * @return the command
   */
  public static String createService(PlatformClient.Group group) {
    return "create service %s%s on %s with durability=majority, max_age=2s"
        .formatted(SERVICE_PREFIX, group.name(), group.name());
  }
}
