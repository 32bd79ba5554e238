package io.lycheejunction.gateway.failover;

import io.lycheejunction.gateway.dispatch.Positions;
import io.lycheejunction.gateway.dispatch.PrimaryGate;
import io.lycheejunction.gateway.holder.Role;
import io.lycheejunction.gateway.link.TargetLinks;
import io.lycheejunction.gateway.schedule.Scheduler;
import io.lycheejunction.gateway.target.Targets;
import java.util.Objects;

/**
 * What the watching and replacing of primaries shares.
 *
 * @param vm the name of this VM
 * @param holder the name of this process, new with each start
 * @param failureDomain the failure domain of this VM
 * @param scheduler the gateway's clock
 * @param targets the targets
 * @param positions the proven positions
 * @param links reads the answers of targets
 * @param board what VMs tell each other
 * @param peers asks other VMs directly
 * @param role tells whether this VM watches primaries at all
 * @param orders orders promotions
 * @param gate holds statements meanwhile
 */
public record Failover(
    String vm,
    String holder,
    String failureDomain,
    Scheduler scheduler,
    Targets targets,
    Positions positions,
    TargetLinks links,
    FailoverBoard board,
    Peers peers,
    Role role,
    PromotionOrders orders,
    PrimaryGate gate) {
  /** Rejects null components. */
  public Failover {
    Objects.requireNonNull(vm, "vm is null");
    Objects.requireNonNull(holder, "holder is null");
    Objects.requireNonNull(failureDomain, "failureDomain is null");
    Objects.requireNonNull(scheduler, "scheduler is null");
    Objects.requireNonNull(targets, "targets is null");
    Objects.requireNonNull(positions, "positions is null");
    Objects.requireNonNull(links, "links is null");
    Objects.requireNonNull(board, "board is null");
    Objects.requireNonNull(peers, "peers is null");
    Objects.requireNonNull(role, "role is null");
    Objects.requireNonNull(orders, "orders is null");
    Objects.requireNonNull(gate, "gate is null");
  }
}
