package io.lycheejunction.bench.failover;

import io.lycheejunction.core.failover.Suspicion;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** One watcher's suspicion of a primary in virtual time, with lost and late answers. */
final class WatchModel {
  /** The time between two decisions, in milliseconds. */
  static final long TICK_MS = 50;

  private static final long INTERVAL_MS = 200;
  private static final long ROUND_TRIP_MS = 10;

  private final SplittableRandom random;
  private final double loss;
  private final int jitterMs;
  private final List<Long> dueMs = new ArrayList<>();
  private Suspicion suspicion = Suspicion.unseen(0);
  private long lastProbeMs = -INTERVAL_MS;

  WatchModel(long seed, double loss, int jitterMs) {
    this.random = new SplittableRandom(seed);
    this.loss = loss;
    this.jitterMs = jitterMs;
  }

  /** Delivers what is due, and probes if it is time; a primary that is down does not answer. */
  void tick(long nowMs, boolean up) {
    List<Long> arrived = dueMs.stream().filter(at -> at <= nowMs).sorted().toList();
    arrived.forEach(at -> suspicion = suspicion.answered(at));
    dueMs.removeAll(arrived);
    long sinceMs = nowMs - lastProbeMs;
    if (sinceMs >= INTERVAL_MS || (sinceMs >= TICK_MS && suspicion.isDoubtful(nowMs))) {
      probe(nowMs, up);
    }
  }

  private void probe(long nowMs, boolean up) {
    lastProbeMs = nowMs;
    suspicion = suspicion.asked(nowMs);
    boolean lost = random.nextDouble() < loss;
    long answeredMs = nowMs + ROUND_TRIP_MS + random.nextInt(jitterMs);
    if (up && !lost) {
      dueMs.add(answeredMs);
    }
  }

  boolean isGone(long nowMs) {
    return suspicion.isGone(nowMs);
  }

  /** Returns whether the silence counts if its shortest bound is another one. */
  boolean isGone(long nowMs, long shortestMs) {
    long waitedMs = suspicion.askedMs() == Suspicion.NOT_ASKED ? 0 : nowMs - suspicion.askedMs();
    double adaptiveMs = suspicion.meanIntervalMs() + 4 * suspicion.deviationMs();
    long boundMs = Math.max(shortestMs, Math.min((long) adaptiveMs, Suspicion.MAX_SILENCE_MS));
    return waitedMs >= Math.min(shortestMs, Suspicion.MIN_WAIT_MS)
        && suspicion.silentMs(nowMs) >= boundMs;
  }
}
