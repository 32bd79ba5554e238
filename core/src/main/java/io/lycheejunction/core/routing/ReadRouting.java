package io.lycheejunction.core.routing;

import io.lycheejunction.core.configuration.TargetSpec;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Orders the targets that may serve a read.
 *
 * <p>Replicas come first, ordered by failure domain and queue length; then overloaded replicas;
 * then the primary; then unreachable targets, and lagging replicas that are left out of this read
 * at random, so that they serve a smaller share.
 */
public final class ReadRouting {
  // Costs are in queued statements: another domain costs as much as 4 statements in the queue.
  private static final double OTHER_DOMAIN_COST = 4;
  private static final double TIE_BREAK_COST = 0.5;

  private enum Tier {
    READY,
    OVERLOADED,
    PRIMARY,
    DOUBTFUL
  }

  private record Candidate(String name, Tier tier, double cost) {}

  private ReadRouting() {}

  /**
   * Returns the names of the targets to try, the best first.
   *
   * @param query the read
   * @param loads returns the load of the target with the given name
   * @param nowMs the monotonic time, in milliseconds
   * @param random the seeded source that decides about shares and ties
   * @return the names; empty if all targets are leaving or drained
   */
  public static List<String> rankTargets(
      ReadQuery query, Function<String, TargetLoad> loads, long nowMs, RandomGenerator random) {
    return query.group().targets().stream()
        .filter(target -> !query.leaving().contains(target.name()))
        .filter(target -> !query.group().drained().contains(target.name()))
        .map(target -> candidate(query, target, loads.apply(target.name()), nowMs, random))
        .sorted(Comparator.comparing(Candidate::tier).thenComparingDouble(Candidate::cost))
        .map(Candidate::name)
        .toList();
  }

  private static Candidate candidate(
      ReadQuery query, TargetSpec target, TargetLoad load, long nowMs, RandomGenerator random) {
    boolean sameDomain = target.failureDomain().equals(query.failureDomain());
    double domainCost = sameDomain ? 0 : OTHER_DOMAIN_COST;
    double cost = domainCost + load.queued() + TIE_BREAK_COST * random.nextDouble();
    return new Candidate(target.name(), tier(query, target, load, nowMs, random), cost);
  }

  private static Tier tier(
      ReadQuery query, TargetSpec target, TargetLoad load, long nowMs, RandomGenerator random) {
    boolean isPrimary = query.view().primary().equals(Optional.of(target.name()));
    double share = load.shareOf(query.floor(), query.maxAgeMs(), nowMs);
    boolean isWithinShare = random.nextDouble() < share;
    if (load.isUnreachable(nowMs)) {
      return Tier.DOUBTFUL;
    }
    if (isPrimary) {
      return Tier.PRIMARY;
    }
    if (!isWithinShare) {
      return Tier.DOUBTFUL;
    }
    return load.isOverloaded(nowMs) ? Tier.OVERLOADED : Tier.READY;
  }
}
