package io.lycheejunction.gateway.target;

import io.lycheejunction.gateway.metrics.GatewayMetrics;
import java.util.stream.Stream;

/**
 * The gauges of the limits on statements in progress. They have no labels, since the identifiers of
 * targets are not bounded; the log names the targets.
 */
public final class TargetPaceGauges {
  private TargetPaceGauges() {}

  /**
   * Registers the gauges.
   *
   * @param metrics the metrics
   * @param targets the targets
   */
  public static void register(GatewayMetrics metrics, Targets targets) {
    metrics.gauge("gateway_target_limit_lowest", () -> lowestLimit(targets));
    metrics.gauge("gateway_target_slow_starts", () -> startingSlowly(targets));
    metrics.gauge("gateway_target_statements_waiting", () -> waiting(targets));
    metrics.gauge("gateway_target_refusals", () -> refusals(targets));
  }

  private static int lowestLimit(Targets targets) {
    return used(targets).mapToInt(handle -> handle.pool().pace().limit()).min().orElse(0);
  }

  private static long startingSlowly(Targets targets) {
    return used(targets).filter(handle -> handle.pool().pace().isStartingSlowly()).count();
  }

  private static int waiting(Targets targets) {
    return targets.all().stream().mapToInt(handle -> handle.pool().waiting()).sum();
  }

  private static long refusals(Targets targets) {
    return targets.all().stream().mapToLong(handle -> handle.pool().pace().refusals()).sum();
  }

  /** Returns the targets to which this VM has connections; the others keep their first limit. */
  private static Stream<TargetHandle> used(Targets targets) {
    return targets.all().stream().filter(handle -> handle.pool().connectionCount() > 0);
  }
}
