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
  /** The number of answers of which the recent latency is the median. */
  static final int MEDIAN_OF = 9;

  /** How long the lowest latency counts at least, in milliseconds. */
  static final long PERIOD_MS = 10_000;

  /** How long the limit does not grow after a refusal unless the latency falls. */
  static final long HOLD_AFTER_REFUSAL_MS = 6_000;

  /** The latency of a target whose queue has drained, as a part of that of the full one. */
  private static final double DRAINED_FACTOR = 0.6;

  private static final double NEAR_FACTOR = 2;
  private static final double HIGH_FACTOR = 3;

  /** Differences below this are due to the network and the processor of this VM. */
  private static final double SLACK_MS = 8;

  private final Deque<Long> lastMs = new ArrayDeque<>();
  private double lowestMs = Double.POSITIVE_INFINITY;
  private double previousLowestMs = Double.POSITIVE_INFINITY;
  private long periodStartMs = Long.MIN_VALUE;
  private double refusedAtMs = Double.POSITIVE_INFINITY;
  private long refusedUntilMs = Long.MIN_VALUE;

  /** Records the latency of an answered statement. */
  void record(long tookMs, long nowMs) {
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

  /** Returns the level of the recent latency; normal as long as nothing was recorded. */
  LatencyLevel level(long nowMs) {
    if (lastMs.isEmpty()) {
      return LatencyLevel.NORMAL;
    }
    double baseMs = Math.min(lowestMs, previousLowestMs);
    double medianMs = median();
    if (medianMs > baseMs * HIGH_FACTOR + SLACK_MS) {
      return LatencyLevel.HIGH;
    }
    boolean full = nowMs < refusedUntilMs && medianMs > refusedAtMs * DRAINED_FACTOR;
    return full || medianMs > baseMs * NEAR_FACTOR + SLACK_MS
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
    return lastMs.stream().sorted().skip((lastMs.size() - 1) / 2).findFirst().orElseThrow();
  }
}
