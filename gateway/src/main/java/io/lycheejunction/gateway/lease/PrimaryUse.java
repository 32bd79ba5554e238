package io.lycheejunction.gateway.lease;

import java.util.Objects;

/** Whether this VM may send work to a primary and pass on its answers. */
public sealed interface PrimaryUse {

  /** A replaced primary refuses all work by itself, so a VM may use any primary that it knows. */
  record Unrestricted() implements PrimaryUse {}

  /**
   * A replaced primary goes on until it is told to step down, so a VM may use a primary only under
   * a lease.
   *
   * @param leases this VM's leases
   */
  record Leased(PrimaryLeases leases) implements PrimaryUse {
    /** Rejects null leases. */
    public Leased {
      Objects.requireNonNull(leases, "leases is null");
    }
  }

  /**
   * Returns whether this VM may use a primary.
   *
   * @param service the service
   * @param primary the identifier of the primary
   * @param nowMs the present time, in milliseconds
   * @return true if it may
   */
  default boolean isAllowed(String service, String primary, long nowMs) {
    return switch (this) {
      case Unrestricted unrestricted -> true;
      case Leased(PrimaryLeases leases) -> leases.isHeld(service, primary, nowMs);
    };
  }

  /**
   * Returns whether a primary may be used only under a lease.
   *
   * @return true if a replaced primary does not refuse work by itself
   */
  default boolean needsLease() {
    return this instanceof Leased;
  }
}
