package io.lycheejunction.gateway.pool;

/**
 * The number of connections to one target that a VM may hold.
 *
 * @param max the maximum number of open connections
 * @param maxIdle the maximum number of idle connections that are kept open
 */
public record ConnectionShare(int max, int maxIdle) {
  /** Connections of a target that are reserved for VMs that start or restart. */
  static final int RESERVED_CONNECTIONS = 2;

  private static final int MAX_IF_LIMIT_UNKNOWN = 3;

  /**
   * Returns the share of one VM.
   *
   * <p>A target keeps the connections of a VM that has lost power open for seconds. To leave room
   * meanwhile, the idle connections of all VMs together use at most half of the target's limit.
   * With more VMs than that half has connections, none is kept idle and the VMs take turns.
   *
   * @param maxConnections the number of connections that a target accepts from all VMs together; 0
   *     if it is not known
   * @param vms the number of VMs
   * @return the share, at least one connection
   */
  public static ConnectionShare of(int maxConnections, int vms) {
    if (maxConnections <= 0) {
      return new ConnectionShare(MAX_IF_LIMIT_UNKNOWN, 1);
    }
    int count = Math.max(1, vms);
    int max = Math.max(1, (maxConnections - RESERVED_CONNECTIONS) / count);
    int idle = maxConnections / (2 * count);
    return new ConnectionShare(max, Math.min(max, idle));
  }
}
