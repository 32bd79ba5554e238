package io.lycheejunction.core.key;

/**
 * The span of time around the present in which idempotency keys are accepted.
 *
 * @param maxAgeMs the age up to which the ledgers keep a key, in milliseconds
 * @param maxAheadMs how far a caller's clock may be ahead of this one, in milliseconds
 */
public record KeyRetention(long maxAgeMs, long maxAheadMs) {
  /** Rejects negative spans. */
  public KeyRetention {
    if (maxAgeMs < 0 || maxAheadMs < 0) {
      throw new IllegalArgumentException("maxAgeMs or maxAheadMs is negative");
    }
  }
}
