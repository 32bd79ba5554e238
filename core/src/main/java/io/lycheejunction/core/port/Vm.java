package io.lycheejunction.core.port;

import java.util.Objects;

/**
 * One VM as the platform lists it.
 *
 * @param name the name; a replacement has another name, even at the same address
 * @param kind what runs on the VM
 * @param failureDomain the failure domain
 * @param address the address as {@code ip:port}
 * @param leaving true if the platform is taking the VM away
 */
public record Vm(String name, Kind kind, String failureDomain, String address, boolean leaving) {

  /** What runs on a VM. */
  public enum Kind {
    /** An entry VM, which runs a proxy. */
    ENTRY,
    /** A VM that runs a target. */
    TARGET
  }

  /** Rejects null components. */
  public Vm {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(kind, "kind is null");
    Objects.requireNonNull(failureDomain, "failureDomain is null");
    Objects.requireNonNull(address, "address is null");
  }
}
