package io.lycheejunction.gateway.holder;

import io.lycheejunction.gateway.target.Endpoint;
import java.util.Objects;

/**
 * A VM that holds connections to targets.
 *
 * @param vm the name of the VM
 * @param failureDomain the failure domain of the VM
 * @param questions the endpoint at which other VMs request its votes on primaries
 * @param statements the endpoint to which other VMs forward statements
 */
public record Holder(String vm, String failureDomain, Endpoint questions, Endpoint statements) {
  /** Rejects null components. */
  public Holder {
    Objects.requireNonNull(vm, "vm is null");
    Objects.requireNonNull(failureDomain, "failureDomain is null");
    Objects.requireNonNull(questions, "questions is null");
    Objects.requireNonNull(statements, "statements is null");
  }
}
