package io.lycheejunction.proxy.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.clock.ManualClock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.jetbrains.kotlinx.lincheck.paramgen.ThreadIdGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class InFlightTest {
  private static final int MAX = 2;

  private static InFlight.Place enter(InFlight inFlight) {
    return inFlight.enter() instanceof InFlight.Entry.Taken(InFlight.Place place) ? place : null;
  }

  /** The operations that threads run side by side. */
  public static class Shared {
    private final InFlight inFlight = new InFlight(MAX);

    private final List<Deque<InFlight.Place>> held =
        List.of(
            new ArrayDeque<>(),
            new ArrayDeque<>(),
            new ArrayDeque<>(),
            new ArrayDeque<>(),
            new ArrayDeque<>());

    /** Returns whether a request of the thread got a place. */
    @Operation
    public boolean enter(@Param(gen = ThreadIdGen.class) int thread) {
      InFlight.Place place = InFlightTest.enter(inFlight);
      if (place == null) {
        return false;
      }
      held.get(thread).push(place);
      return true;
    }

    /** Returns whether the thread had a place, which it gives back twice. */
    @Operation
    public boolean leave(@Param(gen = ThreadIdGen.class) int thread) {
      InFlight.Place place = held.get(thread).poll();
      if (place == null) {
        return false;
      }
      place.close();
      place.close();
      return true;
    }

    /** Returns the number of requests. */
    @Operation
    public int size() {
      return inFlight.size();
    }

    /** Closes the table. */
    @Operation
    public void close() {
      inFlight.close();
    }
  }

  @Nested
  class Threads {
    @Test
    void shouldKeepBoundAndCount() {
      new ModelCheckingOptions()
          .iterations(20)
          .invocationsPerIteration(500)
          .threads(2)
          .actorsPerThread(3)
          .check(Shared.class);
    }
  }

  @Nested
  class AwaitIdle {
    private final ManualClock clock = ManualClock.advancing();
    private final InFlight inFlight = new InFlight(MAX);

    @Test
    void shouldWaitForLastRequest() throws InterruptedException {
      InFlight.Place place = enter(inFlight);
      clock.afterMs(50, place::close);
      assertTrue(inFlight.awaitIdle(clock, 100));
      assertEquals(50, clock.monotonicMs());
    }

    @Test
    void shouldGiveUpAtTimeout() throws InterruptedException {
      enter(inFlight);
      assertFalse(inFlight.awaitIdle(clock, 100));
      assertEquals(100, clock.monotonicMs());
    }
  }
}
