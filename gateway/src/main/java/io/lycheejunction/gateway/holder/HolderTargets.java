package io.lycheejunction.gateway.holder;

import io.lycheejunction.gateway.route.Route;
import io.lycheejunction.gateway.route.RouteTable;
import io.lycheejunction.gateway.route.ServiceLimits;
import io.lycheejunction.gateway.target.Target;
import io.lycheejunction.gateway.target.Targets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Maps holders to targets, one per service, so that forwarding uses the same code as targets. */
public final class HolderTargets {
  /** The connections to one holder per service, as many as a VM's callers use in parallel. */
  private static final int CONNECTIONS = 10;

  private static final int SLOTS = 1;

  private HolderTargets() {}

  /**
   * Updates a directory of targets to the current holders.
   *
   * @param targets the directory to update
   * @param holders the current holders
   * @param routes the configuration, which names the services
   */
  public static void update(Targets targets, Collection<Holder> holders, RouteTable routes) {
    Map<String, ServiceLimits> limits = new HashMap<>();
    for (Route route : routes.routes().values()) {
      limits.put(route.service(), new ServiceLimits(CONNECTIONS, 0));
    }
    List<Target> holderTargets = new ArrayList<>();
    for (Holder holder : holders) {
      limits.keySet().forEach(service -> holderTargets.add(targetOf(holder, service)));
    }
    targets.update(holderTargets);
    targets.divideConnections(limits, 1);
  }

  /**
   * Returns the name of the VM that a target stands for.
   *
   * @param target a target made from a holder
   * @return the name of the holder
   */
  public static String vmOf(Target target) {
    return target.id().substring(0, target.id().length() - target.service().length() - 1);
  }

  private static Target targetOf(Holder holder, String service) {
    return new Target(
        holder.vm() + '/' + service,
        0,
        0,
        service,
        holder.statements(),
        holder.failureDomain(),
        SLOTS,
        false,
        false,
        0);
  }
}
