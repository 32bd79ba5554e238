package io.lycheejunction.core.retry;

import java.util.random.RandomGenerator;

/**
 * An exponential backoff with full jitter: the bound doubles with each retry, and the delay is
 * uniformly distributed up to the bound.
 *
 * @param baseMs the bound for the first retry, in milliseconds; at least 1
 * @param maxMs the largest bound, in milliseconds; at least {@code baseMs}
 */
public record Backoff(long baseMs, long maxMs) {
  private static final int MAX_DOUBLINGS = 30;

  /** Rejects a base below 1 ms and a largest bound below the base. */
  public Backoff {
    if (baseMs < 1 || maxMs < baseMs) {
      throw new IllegalArgumentException("baseMs is below 1 or above maxMs");
    }
  }

  /**
   * Returns the time to wait before a retry.
   *
   * @param retry the number of the retry, 0 for the first
   * @param retryAfterMs the delay that the refusal requested, in milliseconds; 0 if none
   * @param random the source of the jitter
   * @return the delay in milliseconds: the requested delay, but at most {@code maxMs}, plus the
   *     random one
   */
  public long delayMs(int retry, long retryAfterMs, RandomGenerator random) {
    int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, retry));
    long boundMs = Math.min(maxMs, baseMs << doublings);
    long requestedMs = Math.min(maxMs, Math.max(0, retryAfterMs));
    return requestedMs + random.nextLong(boundMs + 1);
  }
}
