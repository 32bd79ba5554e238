package io.lycheejunction.gateway.failover;

import io.lycheejunction.gateway.dispatch.PrimaryGate;
import io.lycheejunction.gateway.dispatch.ServicePositions;
import io.lycheejunction.gateway.holder.Role;
import io.lycheejunction.gateway.lease.LeaseContext;
import io.lycheejunction.gateway.link.TargetLinkOpener;
import io.lycheejunction.gateway.schedule.Scheduler;
import io.lycheejunction.gateway.target.Targets;
import java.util.Objects;

/**
 * The state and services that failure detection and failover share.
 *
 * @param vm the name of this VM
 * @param holder the name of this process, unique for each start
 * @param failureDomain the failure domain of this VM
 * @param scheduler the clock and the timers of the gateway's thread
 * @param targets the registered targets
 * @param positions the log positions that primaries have confirmed
 * @param linkOpener decodes the status replies of targets
 * @param store the votes and leases in the platform's store
 * @param leases the leases under which primaries are used
 * @param peers requests votes from other VMs directly
 * @param role whether this VM holds connections to targets; only such a VM watches primaries
 * @param orders sends promotion orders to the platform
 * @param gate queues statements while a service has no primary
 */
public record FailoverContext(
    String vm,
    String holder,
    String failureDomain,
    Scheduler scheduler,
    Targets targets,
    ServicePositions positions,
    TargetLinkOpener linkOpener,
    FailoverStore store,
    LeaseContext leases,
    PeerVoteClient peers,
    Role role,
    PromotionOrders orders,
    PrimaryGate gate) {
  /** Rejects null components. */
  public FailoverContext {
    Objects.requireNonNull(vm, "vm is null");
    Objects.requireNonNull(holder, "holder is null");
    Objects.requireNonNull(failureDomain, "failureDomain is null");
    Objects.requireNonNull(scheduler, "scheduler is null");
    Objects.requireNonNull(targets, "targets is null");
    Objects.requireNonNull(positions, "positions is null");
    Objects.requireNonNull(linkOpener, "linkOpener is null");
    Objects.requireNonNull(store, "store is null");
    Objects.requireNonNull(leases, "leases is null");
    Objects.requireNonNull(peers, "peers is null");
    Objects.requireNonNull(role, "role is null");
    Objects.requireNonNull(orders, "orders is null");
    Objects.requireNonNull(gate, "gate is null");
  }

  /** Returns the newest term in which a primary of a service has led, or 0 if none is known. */
  long newestTerm(String service) {
    return Math.max(targets.newestTerm(service), positions.of(service).newestTerm());
  }
}
