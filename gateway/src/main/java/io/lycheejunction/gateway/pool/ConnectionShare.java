package io.lycheejunction.gateway.pool;

/**
 * How many connections to one target a VM may hold.
 *
 * @param most the most at once
 * @param idle the most that are kept while nothing needs them
 */
public record ConnectionShare(int most, int idle) {
  /** Connections of a target that stay free for VMs that start or restart. */
  static final int RESERVED = 2;

  private static final int UNLIMITED = 3;

  /**
   * Returns the share of one VM.
   *
   * <p>Connections of a VM that has lost power stay open at the target for seconds, so half of the
   * target's connections are left free where nothing needs them. Where there are more VMs than
   * that, none is kept: VMs take turns.
   *
   * @param maxConnections the connections that a target accepts from all VMs together; 0 if that is
   *     not known
   * @param vms the number of VMs
   * @return the share, at least one connection
   */
  public static ConnectionShare of(int maxConnections, int vms) {
    if (maxConnections <= 0) {
      return new ConnectionShare(UNLIMITED, 1);
    }
    int count = Math.max(1, vms);
    int most = Math.max(1, (maxConnections - RESERVED) / count);
    int idle = maxConnections / (2 * count);
    return new ConnectionShare(most, Math.min(most, idle));
  }
}
