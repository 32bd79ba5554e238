package io.lycheejunction.bench.failover;

import io.lycheejunction.core.failover.FailureDetector;
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
  private FailureDetector failureDetector = FailureDetector.initial(0);
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
    arrived.forEach(at -> failureDetector = failureDetector.afterAnswer(at));
    answerArrivalsMs.removeAll(arrived);
    long sinceMs = nowMs - lastProbeMs;
    if (sinceMs >= PROBE_INTERVAL_MS
        || (sinceMs >= TICK_MS && failureDetector.isAnswerOverdue(nowMs))) {
      probe(nowMs, primaryUp);
    }
  }

  private void probe(long nowMs, boolean primaryUp) {
    lastProbeMs = nowMs;
    failureDetector = failureDetector.afterRequest(nowMs);
    boolean lost = random.nextDouble() < lossProbability;
    long arrivalMs = nowMs + ROUND_TRIP_MS + random.nextInt(jitterMs);
    if (primaryUp && !lost) {
      answerArrivalsMs.add(arrivalMs);
    }
  }

  boolean suspectsFailure(long nowMs) {
    return failureDetector.isGone(nowMs);
  }

  /** Evaluates the rule of {@link FailureDetector#isGone} with another minimum silence. */
  boolean suspectsFailure(long nowMs, long minSilenceMs) {
    long waitedMs =
        failureDetector.pendingSinceMs() == FailureDetector.NO_PENDING_REQUEST
            ? 0
            : nowMs - failureDetector.pendingSinceMs();
    double adaptiveMs = failureDetector.meanIntervalMs() + 4 * failureDetector.deviationMs();
    long boundMs =
        Math.max(minSilenceMs, Math.min((long) adaptiveMs, FailureDetector.MAX_SILENCE_TIMEOUT_MS));
    return waitedMs >= Math.min(minSilenceMs, FailureDetector.MIN_WAIT_MS)
        && failureDetector.sinceLastAnswerMs(nowMs) >= boundMs;
  }
}
