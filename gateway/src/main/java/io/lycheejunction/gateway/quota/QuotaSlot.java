package io.lycheejunction.gateway.quota;

import java.util.OptionalLong;

/** Whether this VM is certain to have a holder slot. */
@FunctionalInterface
public interface QuotaSlot {

  /**
   * Returns since when this VM has held a slot without interruption.
   *
   * @return the time of the gateway's clock, in milliseconds, or empty if no slot is held for
   *     certain now
   */
  OptionalLong heldSinceMs();
}
