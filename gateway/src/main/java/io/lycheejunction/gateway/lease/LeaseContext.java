package io.lycheejunction.gateway.lease;

import java.util.Objects;
import java.util.Set;

/**
 * What the detection and the replacement of failed primaries need of leases.
 *
 * @param use whether this VM may use a primary
 * @param grants the leases that this VM has granted to others
 * @param client requests the release of primaries from other VMs
 * @param voters the VMs that grant leases
 */
public record LeaseContext(
    PrimaryUse use, LeaseGrants grants, LeaseClient client, LeaseVoters voters) {
  /** Rejects null components. */
  public LeaseContext {
    Objects.requireNonNull(use, "use is null");
    Objects.requireNonNull(grants, "grants is null");
    Objects.requireNonNull(client, "client is null");
    Objects.requireNonNull(voters, "voters is null");
  }

  /**
   * Gives up this VM's lease on the primary of a service and grants none for some time.
   *
   * @param service the service
   * @param primary the identifier of the primary, or an empty text if none is known
   * @param requester the name of the VM that is about to replace the primary
   * @param successors the identifiers of the targets that may be promoted
   * @param nowMs the present time, in milliseconds
   */
  public void release(
      String service, String primary, String requester, Set<String> successors, long nowMs) {
    grants.release(service, primary, requester, successors, nowMs);
    if (use instanceof PrimaryUse.Leased(PrimaryLeases leases)) {
      leases.drop(service);
    }
  }
}
