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
  /** Returns the state after an answer every 200 ms, each 10 ms after its request. */
  private static Suspicion answeringUntil(long untilMs) {
    Suspicion suspicion = Suspicion.unseen(0);
    for (long nowMs = 200; nowMs <= untilMs; nowMs += 200) {
      suspicion = suspicion.asked(nowMs - 10).answered(nowMs);
    }
    return suspicion;
  }

  @Nested
  class IsGone {
    @Test
    void shouldBeGoneAtOnceWhenConnectionIsRefused() {
      assertTrue(answeringUntil(2_000).refusedAt(2_001).isGone(2_001));
    }

    @Test
    void shouldClearRefusalWhenAnswerArrives() {
      assertFalse(answeringUntil(2_000).refusedAt(2_001).answered(2_002).isGone(2_002));
    }

    @Test
    void shouldIgnoreRefusalWhenAnswerIsNewer() {
      assertFalse(answeringUntil(2_000).refusedAt(1_990).isGone(2_000));
    }

    @Test
    void shouldIgnoreSilenceWhenNoRequestHasWaited() {
      Suspicion suspicion = answeringUntil(2_000);
      assertFalse(suspicion.isGone(60_000));
      assertFalse(suspicion.asked(60_000).isGone(60_000 + Suspicion.MIN_WAIT_MS - 1));
      assertTrue(suspicion.asked(60_000).isGone(60_000 + Suspicion.MIN_WAIT_MS));
    }

    @Test
    void shouldCapSilenceTimeoutWhenIntervalsVary() {
      Suspicion suspicion = Suspicion.unseen(0);
      for (long nowMs = 2_000; nowMs < 60_000; nowMs += 2_000) {
        suspicion = suspicion.answered(nowMs).answered(nowMs + 1);
      }
      assertEquals(Suspicion.MAX_SILENCE_MS, suspicion.silenceTimeoutMs());
    }
  }

  /**
   * Guards against false failovers and late detection: proxies probe a primary over links that lose
   * 1% of the probes and delay answers by 10 to 60 ms.
   */
  @Nested
  class UnderLoss {
    private static final long DURATION_MS = 600_000;
    private static final long INTERVAL_MS = 200;
    private static final long TICK_MS = 50;
    private static final double LOSS = 0.01;
    private static final int JITTER_MS = 50;

    private static final class Prober {
      private final SplittableRandom random;
      private final List<Long> answersDueMs = new ArrayList<>();
      private Suspicion suspicion = Suspicion.unseen(0);
      private long lastProbeMs = -INTERVAL_MS;

      Prober(long seed) {
        random = new SplittableRandom(seed);
      }

      void tick(long nowMs) {
        List<Long> arrived =
            answersDueMs.stream().filter(dueMs -> dueMs <= nowMs).sorted().toList();
        arrived.forEach(answeredMs -> suspicion = suspicion.answered(answeredMs));
        answersDueMs.removeAll(arrived);
        long sinceMs = nowMs - lastProbeMs;
        if (sinceMs >= INTERVAL_MS || (sinceMs >= TICK_MS && suspicion.isDoubtful(nowMs))) {
          lastProbeMs = nowMs;
          suspicion = suspicion.asked(nowMs);
          if (random.nextDouble() >= LOSS) {
            answersDueMs.add(nowMs + 10 + random.nextInt(JITTER_MS));
          }
        }
      }
    }

    @Test
    void shouldNotFindPrimaryGoneInTwoDomainsWhenProbesAreLost() {
      int goneInBoth = 0;
      for (long seed = 1; seed <= 20; seed++) {
        Prober first = new Prober(seed);
        Prober second = new Prober(seed + 1_000);
        for (long nowMs = 0; nowMs < DURATION_MS; nowMs += TICK_MS) {
          first.tick(nowMs);
          second.tick(nowMs);
          goneInBoth += first.suspicion.isGone(nowMs) && second.suspicion.isGone(nowMs) ? 1 : 0;
        }
      }
      assertEquals(0, goneInBoth);
    }

    @Test
    void shouldFindPrimaryGoneWithin700MsWhenItCrashes() {
      for (long seed = 1; seed <= 200; seed++) {
        Prober prober = new Prober(seed);
        long crashMs = 30_000 + seed * 7;
        long nowMs = 0;
        while (nowMs < crashMs || !prober.suspicion.isGone(nowMs)) {
          prober.tick(nowMs);
          long atMs = nowMs;
          prober.answersDueMs.removeIf(dueMs -> atMs >= crashMs && dueMs > crashMs);
          nowMs += TICK_MS;
        }
        assertTrue(nowMs - crashMs <= 700, "seed " + seed + " took " + (nowMs - crashMs));
      }
    }
  }
}
