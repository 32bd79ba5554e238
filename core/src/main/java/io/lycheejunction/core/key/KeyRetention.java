package io.lycheejunction.core.key;

/**
 * The range of creation times in which idempotency keys are accepted, relative to the current time.
 *
 * @param maxAgeMs the age up to which the ledgers keep a key, in milliseconds
 * @param maxAheadMs the time by which a caller's clock may be ahead of this one, in milliseconds
 */
public record KeyRetention(long maxAgeMs, long maxAheadMs) {
  /** Rejects negative durations. */
  public KeyRetention {
    if (maxAgeMs < 0 || maxAheadMs < 0) {
      throw new IllegalArgumentException("maxAgeMs or maxAheadMs is negative");
    }
  }
}
