package io.lycheejunction.gateway.failover;

import java.util.Objects;

/**
 * The right to order promotions of one service.
 *
 * @param holder the name of the process that holds it, new with each start
 * @param previous the identifier of the primary that is being replaced
 * @param revision the store's version of the lease, which is its fencing token
 * @param seenMs when this VM first saw it at this version, in milliseconds
 */
public record Lease(String holder, String previous, long revision, long seenMs) {
  /** How long a lease keeps others from ordering, from when they first see it, in milliseconds. */
  public static final long DURATION_MS = 3_000;

  /** Rejects null components. */
  public Lease {
    Objects.requireNonNull(holder, "holder is null");
    Objects.requireNonNull(previous, "previous is null");
  }

  /**
   * Returns whether the lease keeps others from ordering.
   *
   * @param nowMs the present time, in milliseconds
   * @return true if it does
   */
  public boolean isHeld(long nowMs) {
    return nowMs - seenMs < DURATION_MS;
  }
}
