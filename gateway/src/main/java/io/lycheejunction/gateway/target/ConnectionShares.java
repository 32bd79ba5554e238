package io.lycheejunction.gateway.target;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.gateway.pool.ConnectionDivision;
import io.lycheejunction.gateway.pool.ConnectionShare;
import io.lycheejunction.gateway.route.ServiceLimits;
import java.util.Map;

/** The limits of services, and how the connections that targets accept are divided between VMs. */
final class ConnectionShares {
  private static final EventLog LOG = EventLog.of(ConnectionShares.class);
  private static final ServiceLimits UNKNOWN = new ServiceLimits(0, 0);

  private Map<String, ServiceLimits> limitsByService = Map.of();
  private ConnectionDivision division = new ConnectionDivision.Equal(1);

  /** Creates the shares of a single VM, without limits. */
  ConnectionShares() {}

  /**
   * Replaces the limits and the division.
   *
   * @param limits the limits, keyed by service
   * @param changed how the connections are divided
   */
  void update(Map<String, ServiceLimits> limits, ConnectionDivision changed) {
    if (!limits.equals(limitsByService) || !changed.equals(division)) {
      limitsByService = Map.copyOf(limits);
      division = changed;
      LOG.info("connections_shared", "division", division);
    }
  }

  /** Returns this VM's share of the connections to a target, given whether that is the primary. */
  ConnectionShare of(Target target, boolean primary) {
    return division.shareOf(target, primary, limitsOf(target.service()).maxConnections());
  }

  /** Returns how many replicas must have received a commit, or 0 if the limits are not known. */
  int syncReplicasOf(String service) {
    return limitsOf(service).syncReplicas();
  }

  private ServiceLimits limitsOf(String service) {
    return limitsByService.getOrDefault(service, UNKNOWN);
  }
}
