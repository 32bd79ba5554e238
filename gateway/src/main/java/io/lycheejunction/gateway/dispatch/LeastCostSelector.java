package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.target.TargetHandle;
import io.lycheejunction.gateway.target.Targets;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;

/** Selects the target of a read: the one with the lowest estimated time until its answer. */
public final class LeastCostSelector {
  private static final double OTHER_DOMAIN_COST_MS = 90;
  private static final double PRIMARY_COST_MS = 25;
  private static final double AVOIDED_COST_MS = 10_000;
  private static final double BEHIND_COST_MS = 5_000;

  private final Targets targets;
  private final String failureDomain;

  /**
   * Creates a selector for this VM.
   *
   * @param targets the targets to select from
   * @param failureDomain the failure domain of this VM, whose targets are preferred
   */
  public LeastCostSelector(Targets targets, String failureDomain) {
    this.targets = targets;
    this.failureDomain = failureDomain;
  }

  String failureDomain() {
    return failureDomain;
  }

  /**
   * Returns the target that is expected to answer first.
   *
   * @param service the service
   * @param floor the log position that the target must have reached
   * @param tried the identifiers of the targets to exclude
   * @param nowMs the present time, in milliseconds
   * @return the target, or empty if all are excluded or leaving
   */
  public Optional<TargetHandle> choose(
      String service, LogPosition floor, Set<String> tried, long nowMs) {
    Optional<TargetHandle> primary = targets.primaryOf(service);
    return targets.of(service).stream()
        .filter(handle -> !targets.isLeaving(handle))
        .filter(handle -> !tried.contains(handle.target().id()))
        .min(Comparator.comparingDouble(handle -> costMs(handle, primary, floor, nowMs)));
  }

  private double costMs(
      TargetHandle handle, Optional<TargetHandle> primary, LogPosition floor, long nowMs) {
    double costMs =
        (handle.pool().load() + 1) * handle.latencyMs() + handle.pool().expectedWaitMs();
    if (!handle.target().failureDomain().equals(failureDomain)) {
      costMs += OTHER_DOMAIN_COST_MS;
    }
    if (primary.isPresent() && primary.get() == handle) {
      costMs += PRIMARY_COST_MS;
    }
    if (handle.isAvoided(nowMs)) {
      costMs += AVOIDED_COST_MS;
    }
    if (handle.isBehind(floor, nowMs)) {
      costMs += BEHIND_COST_MS;
    }
    return costMs;
  }
}
