package io.lycheejunction.gateway.lease;

import java.util.Map;
import java.util.Objects;

/**
 * A VM's reply to a request to release a primary that is about to be replaced.
 *
 * @param vm the name of the VM
 * @param released true if the VM does not use the primary any more and grants no lease on it
 * @param voter true if the VM has a seat and knows all leases that were granted from it
 * @param remainingMs how long the leases that it has granted to other VMs are still valid, in
 *     milliseconds, keyed by VM name
 */
public record ReleaseReply(
    String vm, boolean released, boolean voter, Map<String, Long> remainingMs) {
  /** Rejects null components and copies the map. */
  public ReleaseReply {
    Objects.requireNonNull(vm, "vm is null");
    remainingMs = Map.copyOf(remainingMs);
  }

  /**
   * Returns the reply of a VM that does not release the primary.
   *
   * @param vm the name of the VM
   * @return the reply
   */
  public static ReleaseReply refused(String vm) {
    return new ReleaseReply(vm, false, false, Map.of());
  }
}
