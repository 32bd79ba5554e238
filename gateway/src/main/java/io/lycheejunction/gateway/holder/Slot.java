package io.lycheejunction.gateway.holder;

import java.util.Objects;

/**
 * A holder slot that a VM has claimed in the platform's store.
 *
 * @param failureDomain the failure domain of the slot, which may differ from the holder's
 * @param number the number of the slot within the failure domain, from 0
 * @param holder the VM that has claimed the slot
 * @param revision the store's version of the slot
 * @param lapsed true if the holder has not refreshed its claim in time
 */
public record Slot(String failureDomain, int number, Holder holder, long revision, boolean lapsed) {
  /** Rejects null components. */
  public Slot {
    Objects.requireNonNull(failureDomain, "failureDomain is null");
    Objects.requireNonNull(holder, "holder is null");
  }
}
