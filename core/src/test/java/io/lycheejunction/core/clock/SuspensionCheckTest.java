package io.lycheejunction.core.clock;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SuspensionCheckTest {
  private final SuspensionCheck check = new SuspensionCheck(1_000, 500_000);

  @Test
  void shouldNotSuspectWhenBothClocksAdvanceTogether() {
    assertFalse(check.hasDiverged(5_000, 504_030));
  }

  @Test
  void shouldSuspectOnceWhenOnlyWallClockAdvances() {
    assertTrue(check.hasDiverged(1_010, 503_010));
    assertFalse(check.hasDiverged(1_020, 503_020));
  }

  @Test
  void shouldSuspectWhenWallClockStepsBack() {
    assertTrue(check.hasDiverged(1_010, 498_010));
  }
}
