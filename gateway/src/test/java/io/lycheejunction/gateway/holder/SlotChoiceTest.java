package io.lycheejunction.gateway.holder;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.lycheejunction.gateway.target.Endpoint;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Answers targets that accept fewer connections than there are VMs. */
class SlotChoiceTest {
  private static final Slot FIRST = slot(0, "vm-a", false);
  private static final Slot SECOND = slot(1, "vm-b", false);

  private static Slot slot(int number, String vm, boolean lapsed) {
    Endpoint endpoint = new Endpoint("10.0.0.1", 7_440);
    return new Slot("a", number, new Holder(vm, "a", endpoint, endpoint), 10 + number, lapsed);
  }

  private static SlotChoice.Places places(int count) {
    return new SlotChoice.Places(List.of("a"), count);
  }

  /** Answers a failure domain with more VMs than places beside one with fewer. */
  @Test
  void shouldTakePlaceOfAnotherFailureDomainWhenItsOwnAreTaken() {
    assertEquals(
        new SlotChoice.Take("b", 0, 0),
        SlotChoice.of("vm-c", List.of(FIRST, SECOND), new SlotChoice.Places(List.of("a", "b"), 2)));
  }

  @Test
  void shouldTakePlaceThatNobodyHasTaken() {
    assertEquals(new SlotChoice.Take("a", 1, 0), SlotChoice.of("vm-c", List.of(FIRST), places(2)));
  }

  /** Answers a holder that is gone for good, and another VM that comes instead. */
  @Test
  void shouldTakePlaceOfHolderThatHasLapsed() {
    Slot lapsed = slot(1, "vm-b", true);

    assertEquals(
        new SlotChoice.Take("a", 1, 11), SlotChoice.of("vm-c", List.of(FIRST, lapsed), places(2)));
  }

  /** Answers a process that starts again on a VM that holds a place. */
  @Test
  void shouldKeepOwnPlaceEvenWhenItHasLapsed() {
    Slot own = slot(0, "vm-a", true);

    assertEquals(new SlotChoice.Keep(own), SlotChoice.of("vm-a", List.of(own, SECOND), places(2)));
  }

  @Test
  void shouldForwardWhenAllPlacesAreTaken() {
    assertEquals(
        new SlotChoice.Forward(), SlotChoice.of("vm-c", List.of(FIRST, SECOND), places(2)));
  }

  /** Answers a configuration that allows fewer connections than before. */
  @Test
  void shouldLeavePlaceThatIsThereNoLonger() {
    assertEquals(
        new SlotChoice.Leave(SECOND), SlotChoice.of("vm-b", List.of(FIRST, SECOND), places(1)));
  }
}
