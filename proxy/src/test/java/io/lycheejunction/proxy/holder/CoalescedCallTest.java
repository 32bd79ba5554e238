package io.lycheejunction.proxy.holder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.clock.ManualClock;
import io.lycheejunction.core.result.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Tests the coalescing of concurrent calls.
 *
 * <p>Guards against a call that gets the result of a run that was already in progress, which may
 * miss what happened before the call.
 */
class CoalescedCallTest {
  private static final long TIMEOUT_MS = 1_000;
  private final ManualClock clock = ManualClock.paused();
  private final AtomicInteger runCount = new AtomicInteger();

  private Deadline deadline() {
    return Deadline.in(clock, TIMEOUT_MS);
  }

  @Test
  void shouldRunAgainWhenCallsAreSequential() {
    CoalescedCall<Integer> coalescedCall =
        new CoalescedCall<>(runDeadline -> Result.success(runCount.incrementAndGet()));
    assertEquals(1, coalescedCall.call(deadline()).getOrElse(0));
    assertEquals(2, coalescedCall.call(deadline()).getOrElse(0));
  }

  @Test
  void shouldAwaitLaterRunWhenCalledDuringRun() throws Exception {
    CountDownLatch started = new CountDownLatch(1);
    CountDownLatch mayFinish = new CountDownLatch(1);
    CoalescedCall<Integer> coalescedCall =
        new CoalescedCall<>(
            runDeadline -> {
              started.countDown();
              awaitUninterrupted(mayFinish);
              return Result.success(runCount.incrementAndGet());
            });
    try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
      final Future<Integer> first =
          threads.submit(() -> coalescedCall.call(deadline()).getOrElse(0));
      started.await();
      List<Future<Integer>> laterCalls = new ArrayList<>();
      CountDownLatch entered = new CountDownLatch(3);
      for (int i = 0; i < 3; i++) {
        laterCalls.add(threads.submit(() -> callAfter(entered, coalescedCall)));
      }
      entered.await();
      mayFinish.countDown();
      assertEquals(1, first.get());
      for (Future<Integer> call : laterCalls) {
        assertTrue(call.get() >= 2, "a call got the result of a run that started before it");
      }
    }
  }

  private int callAfter(CountDownLatch entered, CoalescedCall<Integer> coalescedCall) {
    Deadline deadline = deadline();
    entered.countDown();
    return coalescedCall.call(deadline).getOrElse(0);
  }

  private static void awaitUninterrupted(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
