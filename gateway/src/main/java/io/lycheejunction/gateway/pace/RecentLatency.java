package io.lycheejunction.gateway.pace;

import java.util.ArrayDeque;
import java.util.Deque;

/** The times that a target took for its last answers. */
final class RecentLatency {
  /** The number of answers without which nothing is said of the latency. */
  static final int MIN_ANSWERS = 3;

  private static final int MAX_ANSWERS = 32;
  private static final long VALID_MS = 10_000;

  private final Deque<Long> lastMs = new ArrayDeque<>();
  private long recordedAtMs;

  void record(long tookMs, long nowMs) {
    if (nowMs - recordedAtMs > VALID_MS) {
      lastMs.clear();
    }
    recordedAtMs = nowMs;
    lastMs.addLast(tookMs);
    if (lastMs.size() > MAX_ANSWERS) {
      lastMs.removeFirst();
    }
  }

  /**
   * Records that a statement was given up. Without this, the latency of a target that answers few
   * statements in time would be that of the fastest.
   */
  void recordAtLeast(long waitedMs, long nowMs) {
    if (waitedMs >= quantileMs(0.5)) {
      record(waitedMs, nowMs);
    }
  }

  void forget() {
    lastMs.clear();
  }

  boolean isKnown(long nowMs) {
    return lastMs.size() >= MIN_ANSWERS && nowMs - recordedAtMs <= VALID_MS;
  }

  /**
   * Returns the mean of the fastest three quarters. Statements that wait for a lock would otherwise
   * make the time of all others look longer than it is.
   */
  double typicalMs() {
    int count = (lastMs.size() * 3 + 3) / 4;
    return lastMs.stream().sorted().limit(count).mapToLong(ms -> ms).average().orElse(0);
  }

  /** Returns the latency that a part of the statements did not exceed. */
  long quantileMs(double part) {
    long skipped = (long) ((lastMs.size() - 1) * part);
    return lastMs.stream().sorted().skip(skipped).findFirst().orElse(0L);
  }
}
