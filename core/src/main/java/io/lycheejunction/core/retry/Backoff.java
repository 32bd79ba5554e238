package io.lycheejunction.core.retry;

import java.util.random.RandomGenerator;

/**
 * Spreads retries over time: the bound doubles with each retry and the delay is uniform below it.
 *
 * @param baseMs the bound of the first delay, in milliseconds; at least 1
 * @param maxMs the largest bound, in milliseconds
 */
public record Backoff(long baseMs, long maxMs) {
  private static final int MAX_DOUBLINGS = 30;

  /** Rejects bounds below 1 ms. */
  public Backoff {
    if (baseMs < 1 || maxMs < baseMs) {
      throw new IllegalArgumentException("baseMs is below 1 or above maxMs");
    }
  }

  /**
   * Returns the time to wait before a retry.
   *
   * @param retry the number of the retry, 0 for the first
   * @param retryAfterMs the time that the refusal asked for, in milliseconds; 0 if none
   * @param random the source of the jitter
   * @return the delay in milliseconds, at least what the refusal asked for up to the largest bound
   */
  public long delayMs(int retry, long retryAfterMs, RandomGenerator random) {
    int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, retry));
    long boundMs = Math.min(maxMs, baseMs << doublings);
    long leastMs = Math.min(maxMs, Math.max(0, retryAfterMs));
    return leastMs + random.nextLong(boundMs + 1);
  }
}
