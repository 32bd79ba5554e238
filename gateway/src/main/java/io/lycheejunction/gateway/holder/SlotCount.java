package io.lycheejunction.gateway.holder;

import io.lycheejunction.gateway.route.ServiceLimits;
import java.util.Collection;

/** How many VMs of a failure domain hold connections to targets. */
public final class SlotCount {
  /** The connections to one target that a holder needs for its work to overlap. */
  static final int CONNECTIONS_EACH = 3;

  /** The most holders of a failure domain, so that what they tell each other stays bounded. */
  static final int MOST = 4;

  /** Connections of a target that stay free for VMs that start or restart. */
  private static final int RESERVED = 2;

  private SlotCount() {}

  /**
   * Returns the number of holders of each failure domain.
   *
   * @param limits the limits of the services
   * @param failureDomains the number of failure domains
   * @return the number, at least one
   */
  public static int of(Collection<ServiceLimits> limits, int failureDomains) {
    int count = MOST;
    for (ServiceLimits limit : limits) {
      if (limit.maxConnections() > 0) {
        int holders = (limit.maxConnections() - RESERVED) / CONNECTIONS_EACH;
        count = Math.min(count, holders / Math.max(1, failureDomains));
      }
    }
    return Math.max(1, count);
  }
}
