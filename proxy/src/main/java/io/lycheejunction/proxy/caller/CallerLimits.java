package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.key.KeyRetention;
import java.util.Objects;

/**
 * The limits on callers' requests.
 *
 * @param defaultTimeoutMs the timeout of a request that names none, in milliseconds
 * @param maxTimeoutMs the longest timeout that a request may name, in milliseconds
 * @param maxBodyBytes the maximum size of a body, in bytes
 * @param maxInFlight the maximum number of requests in flight
 * @param maxIdleMs the longest idle limit that a transaction may have, in milliseconds
 * @param maxUnsettled the maximum number of queued keys with an unknown outcome
 * @param retention the time span in which idempotency keys are accepted
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
   * Returns the limits that apply when no setting changes them.
   *
   * @return the limits
   */
  public static CallerLimits defaults() {
    return DEFAULTS;
  }
}
