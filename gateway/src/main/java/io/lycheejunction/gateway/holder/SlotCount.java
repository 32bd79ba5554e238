package io.lycheejunction.gateway.holder;

import io.lycheejunction.gateway.organisation.Organisations;
import io.lycheejunction.gateway.route.ServiceLimits;
import java.util.Collection;

/** Computes how many VMs of a failure domain hold connections to targets. */
public final class SlotCount {
  /** The connections to one target that a holder needs to run statements in parallel. */
  static final int CONNECTIONS_PER_HOLDER = 3;

  /** The fewest connections that a holder works with, so that its domain has a second holder. */
  static final int MIN_CONNECTIONS_PER_HOLDER = 2;

  /** With a second holder, the loss of one does not leave a failure domain without any. */
  private static final int MIN_HOLDERS_PER_DOMAIN = 2;

  /** The most holders per failure domain, which bounds the messages that holders exchange. */
  static final int MAX_HOLDERS_PER_DOMAIN = 4;

  /**
   * The holders per failure domain where there are organisations. The organisations of a holder
   * share its part of a target's connections, so few large parts need fewer new connections than
   * many small ones.
   */
  static final int HOLDERS_PER_DOMAIN_WITH_ORGANISATIONS = 2;

  /** The connections of each target that stay free for VMs that start or restart. */
  private static final int RESERVED_CONNECTIONS = 2;

  private SlotCount() {}

  /**
   * Returns the number of holders per failure domain.
   *
   * @param limits the limits of the services
   * @param failureDomains the number of failure domains
   * @param organisations the organisations of callers
   * @return the number, at least one
   */
  public static int of(
      Collection<ServiceLimits> limits, int failureDomains, Organisations organisations) {
    int count =
        organisations.isEmpty() ? MAX_HOLDERS_PER_DOMAIN : HOLDERS_PER_DOMAIN_WITH_ORGANISATIONS;
    for (ServiceLimits limit : limits) {
      if (limit.maxConnections() > 0) {
        count = Math.min(count, holdersPerDomain(limit.maxConnections(), failureDomains));
      }
    }
    return Math.max(1, count);
  }

  private static int holdersPerDomain(int maxConnections, int failureDomains) {
    int perDomain = (maxConnections - RESERVED_CONNECTIONS) / Math.max(1, failureDomains);
    int most = perDomain / MIN_CONNECTIONS_PER_HOLDER;
    return Math.max(perDomain / CONNECTIONS_PER_HOLDER, Math.min(MIN_HOLDERS_PER_DOMAIN, most));
  }
}
