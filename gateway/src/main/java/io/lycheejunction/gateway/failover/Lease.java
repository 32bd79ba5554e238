package io.lycheejunction.gateway.failover;

import java.util.Objects;

/**
 * The exclusive right to order promotions for one service.
 *
 * @param holder the name of the process that holds it, unique for each start
 * @param previous the identifier of the primary that is being replaced
 * @param revision the store's revision of the lease, which is its fencing token
 * @param seenMs when this VM first saw it at this version, in milliseconds
 */
public record Lease(String holder, String previous, long revision, long seenMs) {
  /** How long a lease excludes other processes after they first see it, in milliseconds. */
  public static final long DURATION_MS = 3_000;

  /** Rejects null components. */
  public Lease {
    Objects.requireNonNull(holder, "holder is null");
    Objects.requireNonNull(previous, "previous is null");
  }

  /**
   * Returns whether the lease still excludes other processes from ordering promotions.
   *
   * @param nowMs the current time, in milliseconds
   * @return true if it has not expired
   */
  public boolean isHeld(long nowMs) {
    return nowMs - seenMs < DURATION_MS;
  }
}
