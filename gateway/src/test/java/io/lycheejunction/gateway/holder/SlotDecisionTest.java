package io.lycheejunction.gateway.holder;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.lycheejunction.gateway.target.Endpoint;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against VMs without a usable slot when targets accept fewer connections than VMs. */
class SlotDecisionTest {
  private static final Slot FIRST = slot(0, "vm-a", false);
  private static final Slot SECOND = slot(1, "vm-b", false);

  private static Slot slot(int number, String vm, boolean lapsed) {
    Endpoint endpoint = new Endpoint("10.0.0.1", 7_440);
    return new Slot("a", number, new Holder(vm, "a", endpoint, endpoint), 10 + number, lapsed);
  }

  private static SlotDecision.SlotRange range(int count) {
    return new SlotDecision.SlotRange(List.of("a"), count);
  }

  /** Guards against unused slots in a failure domain with fewer VMs than slots. */
  @Test
  void shouldTakeSlotOfAnotherFailureDomainWhenItsOwnAreTaken() {
    assertEquals(
        new SlotDecision.Claim("b", 0, 0),
        SlotDecision.of(
            "vm-c", List.of(FIRST, SECOND), new SlotDecision.SlotRange(List.of("a", "b"), 2)));
  }

  @Test
  void shouldTakeSlotWhenItWasNeverTaken() {
    assertEquals(
        new SlotDecision.Claim("a", 1, 0), SlotDecision.of("vm-c", List.of(FIRST), range(2)));
  }

  /** Guards against losing the slot of a holder that has failed for good. */
  @Test
  void shouldTakeSlotWhenItsHolderHasLapsed() {
    Slot lapsed = slot(1, "vm-b", true);

    assertEquals(
        new SlotDecision.Claim("a", 1, 11),
        SlotDecision.of("vm-c", List.of(FIRST, lapsed), range(2)));
  }

  /** Guards against a process that claims a second slot after a restart on the same VM. */
  @Test
  void shouldKeepOwnSlotWhenItHasLapsed() {
    Slot own = slot(0, "vm-a", true);

    assertEquals(
        new SlotDecision.Keep(own), SlotDecision.of("vm-a", List.of(own, SECOND), range(2)));
  }

  @Test
  void shouldForwardWhenAllSlotsAreTaken() {
    assertEquals(
        new SlotDecision.Forward(), SlotDecision.of("vm-c", List.of(FIRST, SECOND), range(2)));
  }

  /** Guards against too many connections after a configuration change lowers their limit. */
  @Test
  void shouldLeaveSlotWhenItsNumberIsNoLongerInUse() {
    assertEquals(
        new SlotDecision.Release(SECOND),
        SlotDecision.of("vm-b", List.of(FIRST, SECOND), range(1)));
  }
}
