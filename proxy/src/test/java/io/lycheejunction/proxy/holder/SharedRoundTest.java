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

class SharedRoundTest {
  private static final long TIMEOUT_MS = 1_000;
  private final ManualClock clock = ManualClock.paused();
  private final AtomicInteger steps = new AtomicInteger();

  private Deadline deadline() {
    return Deadline.in(clock, TIMEOUT_MS);
  }

  @Test
  void shouldRunAgainWhenCallsFollowEachOther() {
    SharedRound<Integer> round = new SharedRound<>(() -> Result.success(steps.incrementAndGet()));
    assertEquals(1, round.call(deadline()).getOrElse(0));
    assertEquals(2, round.call(deadline()).getOrElse(0));
  }

  @Test
  void shouldShareOneLaterStepWhenCallsMeetRunningStep() throws Exception {
    CountDownLatch started = new CountDownLatch(1);
    CountDownLatch go = new CountDownLatch(1);
    SharedRound<Integer> round =
        new SharedRound<>(
            () -> {
              started.countDown();
              awaitUninterrupted(go);
              return Result.success(steps.incrementAndGet());
            });
    try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
      final Future<Integer> first = threads.submit(() -> round.call(deadline()).getOrElse(0));
      started.await();
      List<Future<Integer>> later = new ArrayList<>();
      CountDownLatch entered = new CountDownLatch(3);
      for (int i = 0; i < 3; i++) {
        later.add(threads.submit(() -> callAfter(entered, round)));
      }
      entered.await();
      go.countDown();
      assertEquals(1, first.get());
      for (Future<Integer> call : later) {
        assertTrue(call.get() >= 2, "a call got the result of a step that started before it");
      }
    }
  }

  private int callAfter(CountDownLatch entered, SharedRound<Integer> round) {
    Deadline deadline = deadline();
    entered.countDown();
    return round.call(deadline).getOrElse(0);
  }

  private static void awaitUninterrupted(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
