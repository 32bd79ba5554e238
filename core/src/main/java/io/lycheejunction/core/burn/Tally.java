package io.lycheejunction.core.burn;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * The counts of one service's requests in some time.
 *
 * @param done the requests that were done
 * @param failed the requests that were not done, without the callers' own faults
 * @param fast the requests among the done ones that took at most {@link Objective#LATENCY_MS}
 * @param reads the single reads that were done
 * @param stale the single reads that were refused because their age was not proven
 * @param codes the requests that were not done by result code, with the callers' own faults
 */
public record Tally(
    long done, long failed, long fast, long reads, long stale, Map<Integer, Long> codes) {
  private static final int CALLER_FAULTS_FROM = 1100;
  private static final int CALLER_FAULTS_BEFORE = 1200;

  /** Copies the map. */
  public Tally {
    Objects.requireNonNull(codes, "codes is null");
    codes = Map.copyOf(codes);
  }

  /**
   * Returns the counts of no request.
   *
   * @return the counts
   */
  public static Tally empty() {
    return new Tally(0, 0, 0, 0, 0, Map.of());
  }

  /**
   * Returns the counts of requests that were done.
   *
   * @param done the requests
   * @param fast those among them that were within the latency's threshold
   * @param isRead true if they were single reads
   * @return the counts
   */
  public static Tally ofDone(long done, long fast, boolean isRead) {
    return new Tally(done, 0, fast, isRead ? done : 0, 0, Map.of());
  }

  /**
   * Returns the counts of requests that were not done.
   *
   * @param code the number of their result code
   * @param count the requests
   * @param isStale true if they were single reads whose age was not proven
   * @return the counts
   */
  public static Tally ofRefused(int code, long count, boolean isStale) {
    boolean callersFault = code >= CALLER_FAULTS_FROM && code < CALLER_FAULTS_BEFORE;
    return new Tally(0, callersFault ? 0 : count, 0, 0, isStale ? count : 0, Map.of(code, count));
  }

  /**
   * Returns the sum of these and other counts.
   *
   * @param other the other counts
   * @return the sum
   */
  public Tally plus(Tally other) {
    Map<Integer, Long> sum = new TreeMap<>(codes);
    other.codes.forEach((code, count) -> sum.merge(code, count, Long::sum));
    return new Tally(
        done + other.done,
        failed + other.failed,
        fast + other.fast,
        reads + other.reads,
        stale + other.stale,
        sum);
  }
}
