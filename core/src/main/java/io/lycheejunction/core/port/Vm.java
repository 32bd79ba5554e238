package io.lycheejunction.core.port;

import java.util.Objects;

/**
 * A VM in the list of the platform.
 *
 * @param name the name; a replacement VM has another name, even at the same address
 * @param kind the kind of program that runs on the VM
 * @param failureDomain the failure domain that the VM runs in
 * @param address the address of the program as {@code ip:port}
 * @param leaving true if the platform is removing the VM
 */
public record Vm(String name, Kind kind, String failureDomain, String address, boolean leaving) {

  /** The kind of program that runs on a VM. */
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
