package io.lycheejunction.core.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FailureDetectorTest {
  /** Returns the state after an answer every 200 ms, each 10 ms after its request. */
  private static FailureDetector answeringUntil(long untilMs) {
    FailureDetector failureDetector = FailureDetector.initial(0);
    for (long nowMs = 200; nowMs <= untilMs; nowMs += 200) {
      failureDetector = failureDetector.afterRequest(nowMs - 10).afterAnswer(nowMs);
    }
    return failureDetector;
  }

  @Nested
  class IsGone {
    @Test
    void shouldBeGoneAtOnceWhenConnectionIsRefused() {
      assertTrue(answeringUntil(2_000).afterRefusedConnection(2_001).isGone(2_001));
    }

    @Test
    void shouldClearRefusalWhenAnswerArrives() {
      assertFalse(
          answeringUntil(2_000).afterRefusedConnection(2_001).afterAnswer(2_002).isGone(2_002));
    }

    @Test
    void shouldIgnoreRefusalWhenAnswerIsNewer() {
      assertFalse(answeringUntil(2_000).afterRefusedConnection(1_990).isGone(2_000));
    }

    @Test
    void shouldIgnoreSilenceWhenNoRequestHasWaited() {
      FailureDetector failureDetector = answeringUntil(2_000);
      assertFalse(failureDetector.isGone(60_000));
      assertFalse(
          failureDetector.afterRequest(60_000).isGone(60_000 + FailureDetector.MIN_WAIT_MS - 1));
      assertTrue(failureDetector.afterRequest(60_000).isGone(60_000 + FailureDetector.MIN_WAIT_MS));
    }

    @Test
    void shouldCapSilenceTimeoutWhenIntervalsVary() {
      FailureDetector failureDetector = FailureDetector.initial(0);
      for (long nowMs = 2_000; nowMs < 60_000; nowMs += 2_000) {
        failureDetector = failureDetector.afterAnswer(nowMs).afterAnswer(nowMs + 1);
      }
      assertEquals(FailureDetector.MAX_SILENCE_TIMEOUT_MS, failureDetector.silenceTimeoutMs());
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
      private FailureDetector failureDetector = FailureDetector.initial(0);
      private long lastProbeMs = -INTERVAL_MS;

      Prober(long seed) {
        random = new SplittableRandom(seed);
      }

      void tick(long nowMs) {
        List<Long> arrived =
            answersDueMs.stream().filter(dueMs -> dueMs <= nowMs).sorted().toList();
        arrived.forEach(answeredMs -> failureDetector = failureDetector.afterAnswer(answeredMs));
        answersDueMs.removeAll(arrived);
        long sinceMs = nowMs - lastProbeMs;
        if (sinceMs >= INTERVAL_MS
            || (sinceMs >= TICK_MS && failureDetector.isAnswerOverdue(nowMs))) {
          lastProbeMs = nowMs;
          failureDetector = failureDetector.afterRequest(nowMs);
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
          goneInBoth +=
              first.failureDetector.isGone(nowMs) && second.failureDetector.isGone(nowMs) ? 1 : 0;
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
        while (nowMs < crashMs || !prober.failureDetector.isGone(nowMs)) {
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
