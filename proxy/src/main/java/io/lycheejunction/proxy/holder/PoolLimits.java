package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.configuration.GroupSpec;

/**
 * The limits of one target's pool.
 *
 * @param slots the statements that run at once
 * @param connections the open connections
 * @param transactions the connections that open transactions may pin
 */
record PoolLimits(int slots, int connections, int transactions) {

  /** Returns the limits of the group's targets; transactions leave room for single statements. */
  static PoolLimits of(GroupSpec group) {
    return of(group.slotsPerTarget(), group.connectionsPerTarget());
  }

  static PoolLimits of(int slots, int connections) {
    int reserved = Math.min(slots, connections / 2);
    int transactions = Math.max(1, connections - Math.max(1, reserved));
    return new PoolLimits(Math.max(1, slots), Math.max(1, connections), transactions);
  }

  /** Returns the limits of a holder while the former one may still use its connections. */
  PoolLimits halved() {
    return of(slots, Math.max(1, connections / 2));
  }

  /** Returns the connections that single statements need, which are opened ahead of demand. */
  int warm() {
    return Math.min(slots, connections);
  }
}
