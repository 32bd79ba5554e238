package io.lycheejunction.bench.failover;

import io.lycheejunction.bench.load.Order;
import java.util.List;
import java.util.Optional;

/**
 * What one round has shown.
 *
 * @param gapMs the time from the fault to the first acknowledged write on another primary, in
 *     milliseconds, if there was one
 * @param promotions the promotions, of which one is due to the fault
 * @param lastTerm the term at the end; the first is 1
 * @param acknowledged the acknowledged orders
 * @param lost those that the last primary does not have
 * @param doubled the orders that it has twice
 * @param before the writes before the fault
 */
record RoundResult(
    Optional<Long> gapMs,
    long promotions,
    long lastTerm,
    long acknowledged,
    long lost,
    long doubled,
    Before before) {

  /**
   * The writes before the fault.
   *
   * @param p50Ms the median of the times, in milliseconds
   * @param p99Ms the 99th percentile of the times, in milliseconds
   * @param perSecond the acknowledged writes a second
   */
  record Before(long p50Ms, long p99Ms, double perSecond) {
    private static final double MS_PER_SECOND = 1_000;

    /** Returns the writes that were sent and acknowledged within a span of time. */
    static Before of(List<Order> acknowledged, long startMs, long endMs) {
      List<Long> timesMs =
          acknowledged.stream()
              .filter(order -> order.sentMs() >= startMs && order.answeredMs() <= endMs)
              .map(order -> order.answeredMs() - order.sentMs())
              .sorted()
              .toList();
      return new Before(
          Samples.percentileMs(timesMs, 50),
          Samples.percentileMs(timesMs, 99),
          timesMs.size() * MS_PER_SECOND / Math.max(1, endMs - startMs));
    }
  }

  /** Returns the promotions that no fault explains. */
  long falsePromotions() {
    return Math.max(0, promotions - 1);
  }
}
