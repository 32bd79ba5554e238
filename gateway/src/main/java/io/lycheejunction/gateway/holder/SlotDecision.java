package io.lycheejunction.gateway.holder;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A VM's decision on holder slots.
 *
 * <p>Each failure domain has the same number of slots. If a domain has fewer VMs than slots, VMs of
 * other domains may claim the free ones, after a delay.
 */
public sealed interface SlotDecision {

  /**
   * The VM keeps its slot and holds connections.
   *
   * @param slot the VM's slot
   */
  record Keep(Slot slot) implements SlotDecision {}

  /**
   * The VM tries to claim a free slot.
   *
   * @param failureDomain the failure domain of the slot
   * @param number the number of the slot
   * @param revision the store's version that the claim expects; 0 if the slot was never claimed
   */
  record Claim(String failureDomain, int number, long revision) implements SlotDecision {}

  /**
   * The VM releases its slot, whose number is no longer in use.
   *
   * @param slot the VM's slot
   */
  record Release(Slot slot) implements SlotDecision {}

  /** The VM forwards statements, since other VMs hold all slots. */
  record Forward() implements SlotDecision {}

  /**
   * The slots that a VM may claim.
   *
   * @param failureDomains the failure domains in which the VM may claim a slot, in order of
   *     preference
   * @param count the number of slots per failure domain
   */
  record SlotRange(List<String> failureDomains, int count) {
    /** Copies the list of failure domains. */
    public SlotRange {
      failureDomains = List.copyOf(failureDomains);
    }
  }

  /**
   * Returns the decision of a VM.
   *
   * @param vm the name of the VM
   * @param slots the slots that are claimed
   * @param range the slots that the VM may claim
   * @return the decision
   */
  static SlotDecision of(String vm, Collection<Slot> slots, SlotRange range) {
    Objects.requireNonNull(vm, "vm is null");
    Optional<Slot> own =
        slots.stream()
            .filter(slot -> slot.holder().vm().equals(vm))
            .min(Comparator.comparingInt(Slot::number));
    if (own.isPresent()) {
      return own.get().number() < range.count() ? new Keep(own.get()) : new Release(own.get());
    }
    for (String failureDomain : range.failureDomains()) {
      Optional<SlotDecision> free = freeSlotIn(failureDomain, slots, range.count());
      if (free.isPresent()) {
        return free.get();
      }
    }
    return new Forward();
  }

  private static Optional<SlotDecision> freeSlotIn(
      String failureDomain, Collection<Slot> slots, int count) {
    Map<Integer, Slot> byNumber = new HashMap<>();
    slots.stream()
        .filter(slot -> slot.failureDomain().equals(failureDomain))
        .forEach(slot -> byNumber.put(slot.number(), slot));
    for (int number = 0; number < count; number++) {
      Slot claimed = byNumber.get(number);
      if (claimed == null) {
        return Optional.of(new Claim(failureDomain, number, 0));
      }
      if (claimed.lapsed()) {
        return Optional.of(new Claim(failureDomain, number, claimed.revision()));
      }
    }
    return Optional.empty();
  }
}
