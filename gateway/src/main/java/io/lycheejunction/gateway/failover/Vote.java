package io.lycheejunction.gateway.failover;

import java.util.Objects;

/**
 * What one VM sees of a service's primary.
 *
 * @param vm the VM
 * @param failureDomain the VM's failure domain
 * @param primary the identifier of the target that leads as far as the VM knows, or an empty text
 * @param gone true if the VM gets no answer from it
 */
public record Vote(String vm, String failureDomain, String primary, boolean gone) {
  /** Rejects null components. */
  public Vote {
    Objects.requireNonNull(vm, "vm is null");
    Objects.requireNonNull(failureDomain, "failureDomain is null");
    Objects.requireNonNull(primary, "primary is null");
  }
}
