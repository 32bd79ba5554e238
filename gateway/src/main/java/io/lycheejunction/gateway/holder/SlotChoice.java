package io.lycheejunction.gateway.holder;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * What a VM does about the places for holders.
 *
 * <p>Each failure domain has the same number of places. One that has fewer VMs than that leaves
 * places to VMs of other domains, which wait for a while before they take them.
 */
public sealed interface SlotChoice {

  /**
   * The VM holds connections and keeps its place.
   *
   * @param slot the place
   */
  record Keep(Slot slot) implements SlotChoice {}

  /**
   * The VM tries to take a place that is free.
   *
   * @param failureDomain the failure domain that the place belongs to
   * @param number the place
   * @param revision the store's version that must still be there; 0 if the place was never taken
   */
  record Take(String failureDomain, int number, long revision) implements SlotChoice {}

  /**
   * The VM gives up a place that is no longer there to be taken.
   *
   * @param slot the place
   */
  record Leave(Slot slot) implements SlotChoice {}

  /** All places are taken by others. */
  record Forward() implements SlotChoice {}

  /**
   * The places that there are.
   *
   * @param failureDomains the failure domains that have places, in the order in which a VM takes
   *     places in them
   * @param count the number of places of each
   */
  record Places(List<String> failureDomains, int count) {
    /** Copies the list. */
    public Places {
      failureDomains = List.copyOf(failureDomains);
    }
  }

  /**
   * Returns what a VM does.
   *
   * @param vm the name of the VM
   * @param slots the places that are taken
   * @param places the places that the VM may take
   * @return the choice
   */
  static SlotChoice of(String vm, Collection<Slot> slots, Places places) {
    Objects.requireNonNull(vm, "vm is null");
    Optional<Slot> own =
        slots.stream()
            .filter(slot -> slot.holder().vm().equals(vm))
            .min(Comparator.comparingInt(Slot::number));
    if (own.isPresent()) {
      return own.get().number() < places.count() ? new Keep(own.get()) : new Leave(own.get());
    }
    for (String failureDomain : places.failureDomains()) {
      Optional<SlotChoice> free = freeIn(failureDomain, slots, places.count());
      if (free.isPresent()) {
        return free.get();
      }
    }
    return new Forward();
  }

  private static Optional<SlotChoice> freeIn(
      String failureDomain, Collection<Slot> slots, int count) {
    Map<Integer, Slot> byNumber = new HashMap<>();
    slots.stream()
        .filter(slot -> slot.failureDomain().equals(failureDomain))
        .forEach(slot -> byNumber.put(slot.number(), slot));
    for (int number = 0; number < count; number++) {
      Slot taken = byNumber.get(number);
      if (taken == null) {
        return Optional.of(new Take(failureDomain, number, 0));
      }
      if (taken.lapsed()) {
        return Optional.of(new Take(failureDomain, number, taken.revision()));
      }
    }
    return Optional.empty();
  }
}
