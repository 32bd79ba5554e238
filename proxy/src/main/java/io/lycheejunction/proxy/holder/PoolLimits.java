package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.configuration.GroupSpec;

/**
 * The limits of the connection pool of one target.
 *
 * @param slots the maximum number of statements that run at once
 * @param connections the maximum number of open connections
 * @param transactions the maximum number of connections that open transactions pin
 */
record PoolLimits(int slots, int connections, int transactions) {

  /** Returns the limits for a target of the group, with connections kept for single statements. */
  static PoolLimits of(GroupSpec group) {
    return of(group.slotsPerTarget(), group.connectionsPerTarget());
  }

  static PoolLimits of(int slots, int connections) {
    int reserved = Math.min(slots, connections / 2);
    int transactions = Math.max(1, connections - Math.max(1, reserved));
    return new PoolLimits(Math.max(1, slots), Math.max(1, connections), transactions);
  }

  /** Returns the limits of a new holder while the former one may still have open connections. */
  PoolLimits halved() {
    return of(slots, Math.max(1, connections / 2));
  }

  /** Returns the number of connections that are opened ahead of demand: at most one per slot. */
  int warmConnections() {
    return Math.min(slots, connections);
  }
}
