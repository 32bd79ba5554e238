package io.lycheejunction.gateway.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Failures: a loop that is behind is not noticed; a short pause counts as being behind. */
class LoopLagTest {
  private static final long INTERVAL_MS = 50;

  private final ManualScheduler scheduler = new ManualScheduler();
  private final LoopLag lag = new LoopLag(scheduler, INTERVAL_MS);

  @Test
  void shouldMeasureNothingWhenTheLoopRunsInTime() {
    lag.start();
    scheduler.advanceMs(10_000);

    assertEquals(0, lag.lagMs());
    assertEquals(0, lag.stalledMs());
  }

  @Test
  void shouldMeasureNothingWhenItWasNotStarted() {
    scheduler.stallMs(10_000);

    assertFalse(lag.isBehind());
    assertEquals(0, lag.stalledMs());
  }

  @Test
  void shouldBeBehindDuringAndAfterLongTurnUntilTheLoopCatchesUp() {
    lag.start();
    scheduler.stallMs(INTERVAL_MS + 400);
    assertTrue(lag.isBehind());

    scheduler.advanceMs(0);
    assertEquals(200, lag.lagMs());
    assertEquals(400, lag.stalledMs());

    scheduler.advanceMs(3 * INTERVAL_MS);
    assertFalse(lag.isBehind());
    assertEquals(400, lag.stalledMs());
  }

  @Test
  void shouldNotBeBehindWhenThereWasOneShortPause() {
    lag.start();
    scheduler.stallMs(INTERVAL_MS + 90);
    scheduler.advanceMs(0);

    assertFalse(lag.isBehind());
  }
}
