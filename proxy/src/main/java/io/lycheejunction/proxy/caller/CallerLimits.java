package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.key.KeyRetention;
import java.util.Objects;

/**
 * The limits that a proxy sets to callers' requests.
 *
 * @param defaultTimeoutMs the deadline of a request that names none, in milliseconds
 * @param maxTimeoutMs the longest deadline that a request may name, in milliseconds
 * @param maxBodyBytes the largest body, in bytes
 * @param maxInFlight the largest number of requests in flight
 * @param maxIdleMs the longest time without a request that a transaction may have, in milliseconds
 * @param maxUnsettled the largest number of keys that wait for settling
 * @param retention how long idempotency keys are kept
 */
public record CallerLimits(
    long defaultTimeoutMs,
    long maxTimeoutMs,
    int maxBodyBytes,
    int maxInFlight,
    long maxIdleMs,
    int maxUnsettled,
    KeyRetention retention) {
  private static final CallerLimits DEFAULTS =
      new CallerLimits(
          5_000, 60_000, 1 << 20, 20_000, 30_000, 10_000, new KeyRetention(86_400_000, 60_000));

  /** Rejects a null retention. */
  public CallerLimits {
    Objects.requireNonNull(retention, "retention is null");
  }

  /**
   * Returns the limits that hold when no setting changes them.
   *
   * @return the limits
   */
  public static CallerLimits defaults() {
    return DEFAULTS;
  }
}
