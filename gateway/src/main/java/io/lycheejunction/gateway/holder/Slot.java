package io.lycheejunction.gateway.holder;

import java.util.Objects;

/**
 * A taken place for a holder, in the platform's store.
 *
 * @param failureDomain the failure domain that the place belongs to, which may not be the holder's
 * @param number the place among those of the failure domain, from 0
 * @param holder the VM that has taken it
 * @param revision the store's version of it
 * @param lapsed true if the holder has not shown itself for too long
 */
public record Slot(String failureDomain, int number, Holder holder, long revision, boolean lapsed) {
  /** Rejects null components. */
  public Slot {
    Objects.requireNonNull(failureDomain, "failureDomain is null");
    Objects.requireNonNull(holder, "holder is null");
  }
}
