package io.lycheejunction.bench.load;

import io.lycheejunction.core.configuration.TargetSpec;
import java.util.stream.Collectors;

/** Builds the operator commands that configure a group of the platform stand-in and its service. */
public final class GroupCommands {
  /** Prefix of service names; the name of the group follows it. */
  public static final String SERVICE_PREFIX = "orders-";

  private GroupCommands() {}

  /**
   * Returns the operator command that creates a group.
   *
   * @param group the group as the stand-in describes it
   * @return the command
   */
  public static String createGroup(PlatformClient.Group group) {
    String targets =
        group.targets().stream().map(GroupCommands::formatTarget).collect(Collectors.joining(", "));
    return "create group %s targets (%s) slots %d connections %d"
        .formatted(group.name(), targets, group.slots(), group.connections());
  }

  private static String formatTarget(TargetSpec target) {
    return "%s in %s at %s".formatted(target.name(), target.failureDomain(), target.address());
  }

  /**
   * Returns the operator command that creates the service of a group.
   *
   * @param group the group as the stand-in describes it
   * @return the command
   */
  public static String createService(PlatformClient.Group group) {
    return "create service %s%s on %s with durability=majority, max_age=2s"
        .formatted(SERVICE_PREFIX, group.name(), group.name());
  }
}
