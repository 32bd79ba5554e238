package io.lycheejunction.bench.failover;

import io.lycheejunction.bench.load.Order;
import java.util.List;
import java.util.Optional;

/**
 * The measurements of one round.
 *
 * @param gapMs the time from the fault to the first acknowledged write on another primary, in
 *     milliseconds, if there was one
 * @param promotions the number of promotions; the fault accounts for one of them
 * @param lastTerm the term at the end; the first is 1
 * @param acknowledged the number of acknowledged orders
 * @param lost the number of acknowledged orders that the last primary does not have
 * @param doubled the number of surplus copies of orders on the last primary
 * @param before the latency and throughput of writes before the fault
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
   * Latency and throughput of the writes before the fault.
   *
   * @param p50Ms the median latency, in milliseconds
   * @param p99Ms the 99th percentile of the latencies, in milliseconds
   * @param perSecond the acknowledged writes per second
   */
  record Before(long p50Ms, long p99Ms, double perSecond) {
    private static final double MS_PER_SECOND = 1_000;

    /**
     * Returns the measurements of the writes that were sent and acknowledged within an interval.
     */
    static Before of(List<Order> acknowledged, long startMs, long endMs) {
      List<Long> latenciesMs =
          acknowledged.stream()
              .filter(order -> order.sentMs() >= startMs && order.answeredMs() <= endMs)
              .map(order -> order.answeredMs() - order.sentMs())
              .sorted()
              .toList();
      return new Before(
          Samples.percentileMs(latenciesMs, 50),
          Samples.percentileMs(latenciesMs, 99),
          latenciesMs.size() * MS_PER_SECOND / Math.max(1, endMs - startMs));
    }
  }

  /** Returns the number of promotions beyond the one that the fault accounts for. */
  long falsePromotions() {
    return Math.max(0, promotions - 1);
  }
}
