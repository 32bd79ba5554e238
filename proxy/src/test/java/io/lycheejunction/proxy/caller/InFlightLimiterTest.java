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
class InFlightLimiterTest {
  private static final int MAX = 2;

  private static InFlightLimiter.Permit acquireOrNull(InFlightLimiter limiter) {
    return limiter.tryAcquire()
            instanceof InFlightLimiter.Admission.Admitted(InFlightLimiter.Permit permit)
        ? permit
        : null;
  }

  /** The operations that threads run concurrently. */
  public static class SharedOperations {
    private final InFlightLimiter limiter = new InFlightLimiter(MAX);

    private final List<Deque<InFlightLimiter.Permit>> permits =
        List.of(
            new ArrayDeque<>(),
            new ArrayDeque<>(),
            new ArrayDeque<>(),
            new ArrayDeque<>(),
            new ArrayDeque<>());

    /** Returns whether a request of the thread got a permit. */
    @Operation
    public boolean obtain(@Param(gen = ThreadIdGen.class) int thread) {
      InFlightLimiter.Permit permit = InFlightLimiterTest.acquireOrNull(limiter);
      if (permit == null) {
        return false;
      }
      permits.get(thread).push(permit);
      return true;
    }

    /** Returns whether the thread had a permit, which it closes twice. */
    @Operation
    public boolean release(@Param(gen = ThreadIdGen.class) int thread) {
      InFlightLimiter.Permit permit = permits.get(thread).poll();
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
      return limiter.size();
    }

    /** Refuses new requests from now on. */
    @Operation
    public void close() {
      limiter.stopAdmission();
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
    private final InFlightLimiter limiter = new InFlightLimiter(MAX);

    @Test
    void shouldReturnTrueWhenLastRequestEnds() throws InterruptedException {
      InFlightLimiter.Permit permit = acquireOrNull(limiter);
      clock.scheduleAfterMs(50, permit::close);
      assertTrue(limiter.awaitIdle(clock, 100));
      assertEquals(50, clock.monotonicMs());
    }

    @Test
    void shouldReturnFalseWhenTimeoutPasses() throws InterruptedException {
      acquireOrNull(limiter);
      assertFalse(limiter.awaitIdle(clock, 100));
      assertEquals(100, clock.monotonicMs());
    }
  }
}
