package io.lycheejunction.core.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SuspicionTest {
  private static Suspicion steady(long untilMs) {
    Suspicion suspicion = Suspicion.unseen(0);
    for (long nowMs = 200; nowMs <= untilMs; nowMs += 200) {
      suspicion = suspicion.asked(nowMs - 10).answered(nowMs);
    }
    return suspicion;
  }

  @Nested
  class IsGone {
    @Test
    void shouldCountRefusedConnectionAtOnce() {
      assertTrue(steady(2_000).refusedAt(2_001).isGone(2_001));
    }

    @Test
    void shouldForgetRefusalWhenAnAnswerComes() {
      assertFalse(steady(2_000).refusedAt(2_001).answered(2_002).isGone(2_002));
    }

    @Test
    void shouldDropRefusalThatIsOlderThanTheLastAnswer() {
      assertFalse(steady(2_000).refusedAt(1_990).isGone(2_000));
    }

    @Test
    void shouldCountSilenceOnlyAfterRequestHasWaited() {
      Suspicion suspicion = steady(2_000);
      assertFalse(suspicion.isGone(60_000));
      assertFalse(suspicion.asked(60_000).isGone(60_000 + Suspicion.MIN_WAIT_MS - 1));
      assertTrue(suspicion.asked(60_000).isGone(60_000 + Suspicion.MIN_WAIT_MS));
    }

    @Test
    void shouldBoundTheSilenceWhenIntervalsVary() {
      Suspicion suspicion = Suspicion.unseen(0);
      for (long nowMs = 2_000; nowMs < 60_000; nowMs += 2_000) {
        suspicion = suspicion.answered(nowMs).answered(nowMs + 1);
      }
      assertEquals(Suspicion.MAX_SILENCE_MS, suspicion.boundMs());
    }
  }

  /** Two watchers probe a live primary over links that lose 1% and vary by 50 ms. */
  @Nested
  class UnderLoss {
    private static final long DURATION_MS = 600_000;
    private static final long INTERVAL_MS = 200;
    private static final long TICK_MS = 50;
    private static final double LOSS = 0.01;
    private static final int JITTER_MS = 50;

    private static final class Watcher {
      private final SplittableRandom random;
      private final List<Long> dueMs = new ArrayList<>();
      private Suspicion suspicion = Suspicion.unseen(0);
      private long lastProbeMs = -INTERVAL_MS;

      Watcher(long seed) {
        random = new SplittableRandom(seed);
      }

      void tick(long nowMs) {
        List<Long> arrived = dueMs.stream().filter(at -> at <= nowMs).sorted().toList();
        arrived.forEach(at -> suspicion = suspicion.answered(at));
        dueMs.removeAll(arrived);
        long sinceMs = nowMs - lastProbeMs;
        if (sinceMs >= INTERVAL_MS || (sinceMs >= TICK_MS && suspicion.isDoubtful(nowMs))) {
          lastProbeMs = nowMs;
          suspicion = suspicion.asked(nowMs);
          if (random.nextDouble() >= LOSS) {
            dueMs.add(nowMs + 10 + random.nextInt(JITTER_MS));
          }
        }
      }
    }

    @Test
    void shouldNeverFindTheSamePrimaryGoneInTwoDomainsInTenMinutes() {
      int gone = 0;
      for (long seed = 1; seed <= 20; seed++) {
        Watcher first = new Watcher(seed);
        Watcher second = new Watcher(seed + 1_000);
        for (long nowMs = 0; nowMs < DURATION_MS; nowMs += TICK_MS) {
          first.tick(nowMs);
          second.tick(nowMs);
          gone += first.suspicion.isGone(nowMs) && second.suspicion.isGone(nowMs) ? 1 : 0;
        }
      }
      assertEquals(0, gone);
    }

    @Test
    void shouldFindPrimaryGoneSoonAfterItsLastAnswer() {
      for (long seed = 1; seed <= 200; seed++) {
        Watcher watcher = new Watcher(seed);
        long crashMs = 30_000 + seed * 7;
        long nowMs = 0;
        while (nowMs < crashMs || !watcher.suspicion.isGone(nowMs)) {
          watcher.tick(nowMs);
          long atMs = nowMs;
          watcher.dueMs.removeIf(due -> atMs >= crashMs && due > crashMs);
          nowMs += TICK_MS;
        }
        assertTrue(nowMs - crashMs <= 700, "seed " + seed + " took " + (nowMs - crashMs));
      }
    }
  }
}
