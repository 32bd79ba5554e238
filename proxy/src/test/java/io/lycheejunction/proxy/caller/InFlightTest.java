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

/**
 * Guards against a limit that concurrent requests exceed, against permits that are counted twice
 * when they are closed twice, and against a shutdown that does not wait for requests in flight.
 */
class InFlightTest {
  private static final int MAX = 2;

  private static InFlight.Permit acquireOrNull(InFlight inFlight) {
    return inFlight.tryAcquire() instanceof InFlight.Admission.Admitted(InFlight.Permit permit)
        ? permit
        : null;
  }

  /** The operations that threads run concurrently. */
  public static class SharedOperations {
    private final InFlight inFlight = new InFlight(MAX);

    private final List<Deque<InFlight.Permit>> permits =
        List.of(
            new ArrayDeque<>(),
            new ArrayDeque<>(),
            new ArrayDeque<>(),
            new ArrayDeque<>(),
            new ArrayDeque<>());

    /** Returns whether a request of the thread got a permit. */
    @Operation
    public boolean obtain(@Param(gen = ThreadIdGen.class) int thread) {
      InFlight.Permit permit = InFlightTest.acquireOrNull(inFlight);
      if (permit == null) {
        return false;
      }
      permits.get(thread).push(permit);
      return true;
    }

    /** Returns whether the thread had a permit, which it closes twice. */
    @Operation
    public boolean release(@Param(gen = ThreadIdGen.class) int thread) {
      InFlight.Permit permit = permits.get(thread).poll();
      if (permit == null) {
        return false;
      }
      permit.close();
      permit.close();
      return true;
    }

    /** Returns the number of requests in flight. */
    @Operation
    public int size() {
      return inFlight.size();
    }

    /** Refuses new requests from now on. */
    @Operation
    public void close() {
      inFlight.close();
    }
  }

  @Nested
  class ConcurrentUse {
    @Test
    void shouldKeepLimitAndCountWhenThreadsRace() {
      new ModelCheckingOptions()
          .iterations(20)
          .invocationsPerIteration(500)
          .threads(2)
          .actorsPerThread(3)
          .check(SharedOperations.class);
    }
  }

  @Nested
  class AwaitIdle {
    private final ManualClock clock = ManualClock.advancing();
    private final InFlight inFlight = new InFlight(MAX);

    @Test
    void shouldReturnTrueWhenLastRequestEnds() throws InterruptedException {
      InFlight.Permit permit = acquireOrNull(inFlight);
      clock.afterMs(50, permit::close);
      assertTrue(inFlight.awaitIdle(clock, 100));
      assertEquals(50, clock.monotonicMs());
    }

    @Test
    void shouldReturnFalseWhenTimeoutPasses() throws InterruptedException {
      acquireOrNull(inFlight);
      assertFalse(inFlight.awaitIdle(clock, 100));
      assertEquals(100, clock.monotonicMs());
    }
  }
}
