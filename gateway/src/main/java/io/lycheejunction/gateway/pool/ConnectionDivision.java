package io.lycheejunction.gateway.pool;

import io.lycheejunction.gateway.target.Target;
import java.util.Map;
import java.util.Objects;

/** How the VMs that connect to targets divide the connections that each target accepts. */
public sealed interface ConnectionDivision {

  /**
   * Returns this VM's share of a target's connections.
   *
   * @param target the target
   * @param primary whether the target is the primary of its service
   * @param maxConnections the connections that the target accepts, or 0 if that is not known
   * @return the share
   */
  ConnectionShare shareOf(Target target, boolean primary, int maxConnections);

  /**
   * Each VM has the same share of each target.
   *
   * @param vms the number of VMs that connect to targets
   */
  record Equal(int vms) implements ConnectionDivision {

    @Override
    public ConnectionShare shareOf(Target target, boolean primary, int maxConnections) {
      return ConnectionShare.of(maxConnections, vms);
    }
  }

  /**
   * The VMs of a replica's failure domain, which send it most of its reads, have most of its
   * connections. Each VM has the same share of a primary.
   *
   * @param ownDomain the failure domain of this VM
   * @param vmsByDomain the number of VMs that connect to targets, by failure domain
   */
  record ByDomain(String ownDomain, Map<String, Integer> vmsByDomain)
      implements ConnectionDivision {
    /** What a VM of another failure domain needs when its own replica is lost or slow. */
    static final int REMOTE_CONNECTIONS = 2;

    /** Rejects null components and copies the map. */
    public ByDomain {
      Objects.requireNonNull(ownDomain, "ownDomain is null");
      vmsByDomain = Map.copyOf(vmsByDomain);
    }

    @Override
    public ConnectionShare shareOf(Target target, boolean primary, int maxConnections) {
      int vms = vmsByDomain.values().stream().mapToInt(Integer::intValue).sum();
      ConnectionShare equal = ConnectionShare.of(maxConnections, vms);
      int local = vmsByDomain.getOrDefault(target.failureDomain(), 0);
      if (primary
          || maxConnections <= 0
          || local == 0
          || local == vms
          || equal.max() <= REMOTE_CONNECTIONS) {
        return equal;
      }
      if (!target.failureDomain().equals(ownDomain)) {
        return new ConnectionShare(REMOTE_CONNECTIONS, 1);
      }
      return ConnectionShare.of(maxConnections - REMOTE_CONNECTIONS * (vms - local), local);
    }
  }
}
