package io.lycheejunction.gateway.failover;

import java.util.Objects;

/**
 * A VM's vote on whether a service's primary is gone.
 *
 * @param vm the name of the VM
 * @param failureDomain the VM's failure domain
 * @param primary the identifier of the target that the VM knows as primary, or an empty text
 * @param gone true if the VM cannot reach it
 */
public record Vote(String vm, String failureDomain, String primary, boolean gone) {
  /** Rejects null components. */
  public Vote {
    Objects.requireNonNull(vm, "vm is null");
    Objects.requireNonNull(failureDomain, "failureDomain is null");
    Objects.requireNonNull(primary, "primary is null");
  }

  /**
   * Returns whether this vote reports a primary gone.
   *
   * @param other the identifier of the primary
   * @param exceptVm the name of a VM whose vote does not count
   * @return true if a VM other than that one reports this primary gone
   */
  public boolean isReportOf(String other, String exceptVm) {
    return gone && primary.equals(other) && !vm.equals(exceptVm);
  }
}
