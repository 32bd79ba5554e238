package io.lycheejunction.core.burn;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * The request counts of one service over a period.
 *
 * @param done the requests that succeeded
 * @param failed the requests that did not succeed, without errors caused by the caller
 * @param fast the successful requests that took at most {@link Objective#LATENCY_MS}
 * @param reads the single reads that succeeded
 * @param stale the single reads that were refused because the age of the data was not proven
 * @param codes the requests that did not succeed, by result code and with errors caused by the
 *     caller
 */
public record RequestCounts(
    long done, long failed, long fast, long reads, long stale, Map<Integer, Long> codes) {
  private static final int FIRST_CALLER_ERROR_CODE = 1100;
  private static final int CALLER_ERROR_CODES_END = 1200;

  /** Copies the map. */
  public RequestCounts {
    Objects.requireNonNull(codes, "codes is null");
    codes = Map.copyOf(codes);
  }

  /**
   * Returns counts that are all zero.
   *
   * @return the empty counts
   */
  public static RequestCounts empty() {
    return new RequestCounts(0, 0, 0, 0, 0, Map.of());
  }

  /**
   * Returns the counts of requests that succeeded.
   *
   * @param done the number of requests
   * @param fast the number of these requests that took at most {@link Objective#LATENCY_MS}
   * @param isRead true if the requests were single reads
   * @return the counts
   */
  public static RequestCounts ofDone(long done, long fast, boolean isRead) {
    return new RequestCounts(done, 0, fast, isRead ? done : 0, 0, Map.of());
  }

  /**
   * Returns the counts of requests that did not succeed.
   *
   * @param code the number of the result code of the requests
   * @param count the number of requests
   * @param isStale true if the requests were single reads refused because the age of the data was
   *     not proven
   * @return the counts
   */
  public static RequestCounts ofRefused(int code, long count, boolean isStale) {
    boolean causedByCaller = code >= FIRST_CALLER_ERROR_CODE && code < CALLER_ERROR_CODES_END;
    return new RequestCounts(
        0, causedByCaller ? 0 : count, 0, 0, isStale ? count : 0, Map.of(code, count));
  }

  /**
   * Returns the sum of these and other counts.
   *
   * @param other the other counts
   * @return the sum
   */
  public RequestCounts plus(RequestCounts other) {
    Map<Integer, Long> sum = new TreeMap<>(codes);
    other.codes.forEach((code, count) -> sum.merge(code, count, Long::sum));
    return new RequestCounts(
        done + other.done,
        failed + other.failed,
        fast + other.fast,
        reads + other.reads,
        stale + other.stale,
        sum);
  }
}
