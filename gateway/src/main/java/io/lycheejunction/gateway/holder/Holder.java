package io.lycheejunction.gateway.holder;

import io.lycheejunction.gateway.target.Endpoint;
import java.util.Objects;

/**
 * A VM that holds connections to targets.
 *
 * @param vm the name of the VM
 * @param failureDomain the failure domain that it is in
 * @param questions where other VMs ask it what it sees
 * @param statements where other VMs forward statements to
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
