package io.lycheejunction.bench.failover;

import io.lycheejunction.core.failover.Suspicion;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Failure detector of one watcher that probes a primary in virtual time, with lost and late
 * answers.
 */
final class WatcherModel {
  /** The interval between two evaluations of the suspicion, in milliseconds. */
  static final long TICK_MS = 50;

  private static final long PROBE_INTERVAL_MS = 200;
  private static final long ROUND_TRIP_MS = 10;

  private final SplittableRandom random;
  private final double lossProbability;
  private final int jitterMs;
  private final List<Long> answerArrivalsMs = new ArrayList<>();
  private Suspicion suspicion = Suspicion.unseen(0);
  private long lastProbeMs = -PROBE_INTERVAL_MS;

  WatcherModel(long seed, double lossProbability, int jitterMs) {
    this.random = new SplittableRandom(seed);
    this.lossProbability = lossProbability;
    this.jitterMs = jitterMs;
  }

  /**
   * Delivers the answers that have arrived and sends a probe if one is due; a primary that is down
   * does not answer.
   */
  void tick(long nowMs, boolean primaryUp) {
    List<Long> arrived = answerArrivalsMs.stream().filter(at -> at <= nowMs).sorted().toList();
    arrived.forEach(at -> suspicion = suspicion.answered(at));
    answerArrivalsMs.removeAll(arrived);
    long sinceMs = nowMs - lastProbeMs;
    if (sinceMs >= PROBE_INTERVAL_MS || (sinceMs >= TICK_MS && suspicion.isDoubtful(nowMs))) {
      probe(nowMs, primaryUp);
    }
  }

  private void probe(long nowMs, boolean primaryUp) {
    lastProbeMs = nowMs;
    suspicion = suspicion.asked(nowMs);
    boolean lost = random.nextDouble() < lossProbability;
    long arrivalMs = nowMs + ROUND_TRIP_MS + random.nextInt(jitterMs);
    if (primaryUp && !lost) {
      answerArrivalsMs.add(arrivalMs);
    }
  }

  boolean suspectsFailure(long nowMs) {
    return suspicion.isGone(nowMs);
  }

  /** Evaluates the rule of {@link Suspicion#isGone} with another minimum silence. */
  boolean suspectsFailure(long nowMs, long minSilenceMs) {
    long waitedMs = suspicion.askedMs() == Suspicion.NOT_ASKED ? 0 : nowMs - suspicion.askedMs();
    double adaptiveMs = suspicion.meanIntervalMs() + 4 * suspicion.deviationMs();
    long boundMs = Math.max(minSilenceMs, Math.min((long) adaptiveMs, Suspicion.MAX_SILENCE_MS));
    return waitedMs >= Math.min(minSilenceMs, Suspicion.MIN_WAIT_MS)
        && suspicion.silentMs(nowMs) >= boundMs;
  }
}
