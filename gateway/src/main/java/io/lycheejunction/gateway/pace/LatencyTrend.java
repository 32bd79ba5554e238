package io.lycheejunction.gateway.pace;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Compares the recent latency of one kind of statement with the lowest of the last 10 to 20 s.
 *
 * <p>Both are medians of the last answers, so that a few outliers, such as a pause of this process,
 * have no effect. The lowest is kept for two periods in turn, so that it follows a target that has
 * become slower for good.
 */
final class LatencyTrend {
  /** The number of answers of which the recent latency is the median or the lower quartile. */
  static final int MEDIAN_OF = 9;

  /** How long the lowest latency counts at least, in milliseconds. */
  static final long PERIOD_MS = 10_000;

  /** How long the limit does not grow after a refusal unless the latency falls. */
  static final long HOLD_AFTER_REFUSAL_MS = 6_000;

  /**
   * How long a target counts as cold, in milliseconds. Until then the median must be high for a
   * reduction, later the lower quartile: work in progress slows all statements, while a few long
   * ones at a warm target raise only the median.
   */
  private static final long COLD_MS = 10_000;

  /** The latency of a target whose queue has drained, as a part of that of the full one. */
  private static final double DRAINED_FACTOR = 0.6;

  private static final double NEAR_FACTOR = 1;
  private static final double HIGH_FACTOR = 2;

  /** Differences below this are due to the network and the processor of this VM. */
  private static final double SLACK_MS = 8;

  private final Deque<Long> lastMs = new ArrayDeque<>();
  private double lowestMs = Double.POSITIVE_INFINITY;
  private double previousLowestMs = Double.POSITIVE_INFINITY;
  private long periodStartMs = Long.MIN_VALUE;
  private double refusedAtMs = Double.POSITIVE_INFINITY;
  private long refusedUntilMs = Long.MIN_VALUE;
  private long coldUntilMs = Long.MIN_VALUE;

  /** Records the latency of an answered statement. */
  void record(long tookMs, long nowMs) {
    if (lastMs.isEmpty()) {
      coldUntilMs = nowMs + COLD_MS;
    }
    lastMs.addLast(tookMs);
    if (lastMs.size() > MEDIAN_OF) {
      lastMs.removeFirst();
    }
    startPeriod(nowMs);
    lowestMs = Math.min(lowestMs, median());
  }

  /**
   * Records a refusal, so that the recent latency is known to be that of a full target.
   *
   * <p>All holders may know a target only under load, when even the lowest latency contains the
   * wait in its queue.
   */
  void recordRefusal(long nowMs) {
    if (!lastMs.isEmpty()) {
      refusedAtMs = median();
      refusedUntilMs = nowMs + HOLD_AFTER_REFUSAL_MS;
    }
  }

  /** Forgets the recent answers, since the target's state has changed, but not the lowest. */
  void forgetRecent() {
    lastMs.clear();
  }

  /** Returns the lowest latency; 0 if none was recorded lately. */
  double lowestMs(long nowMs) {
    boolean outdated = lastMs.isEmpty() || nowMs - periodStartMs >= 2 * PERIOD_MS;
    return outdated ? 0 : Math.min(lowestMs, previousLowestMs);
  }

  /**
   * Returns the level of the recent latency; normal as long as nothing was recorded.
   *
   * @param nowMs the present time, in milliseconds
   * @param scaleMs the latency of an idle target that the added latency is compared with
   */
  LatencyLevel level(long nowMs, double scaleMs) {
    if (lastMs.isEmpty()) {
      return LatencyLevel.NORMAL;
    }
    double medianMs = median();
    double baseMs = Math.min(lowestMs, previousLowestMs) + SLACK_MS;
    if (quantile(nowMs < coldUntilMs ? 2 : 4) - baseMs > scaleMs * HIGH_FACTOR) {
      return LatencyLevel.HIGH;
    }
    boolean full = nowMs < refusedUntilMs && medianMs > refusedAtMs * DRAINED_FACTOR;
    return full || medianMs - baseMs > scaleMs * NEAR_FACTOR
        ? LatencyLevel.RAISED
        : LatencyLevel.NORMAL;
  }

  private void startPeriod(long nowMs) {
    if (periodStartMs != Long.MIN_VALUE && nowMs - periodStartMs < PERIOD_MS) {
      return;
    }
    previousLowestMs = lowestMs;
    lowestMs = Double.POSITIVE_INFINITY;
    periodStartMs = nowMs;
  }

  private double median() {
    return quantile(2);
  }

  /** Returns the latency that one of so many parts of the last answers did not exceed. */
  private double quantile(int parts) {
    return lastMs.stream().sorted().skip((lastMs.size() - 1) / parts).findFirst().orElseThrow();
  }
}
