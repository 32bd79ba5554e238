package io.lycheejunction.bench.failover;

import io.lycheejunction.bench.Bench;
import io.lycheejunction.bench.BenchSettings;
import io.lycheejunction.common.settings.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Sets the shortest silence that counts against detection and false suspicion, in virtual time. */
public final class SuspicionBench implements Bench {
  private static final List<Long> BOUNDS_MS = List.of(50L, 100L, 200L, 300L, 500L, 1_000L, 1_500L);
  private static final List<Double> LOSSES = List.of(0.0, 0.01, 0.1);
  private static final int JITTER_MS = 50;
  private static final long DURATION_MS = 600_000;
  private static final long WARM_MS = 30_000;
  private static final long CRASH_SPAN_MS = 1_000;
  private static final long DETECTION_LIMIT_MS = 10_000;
  private static final int CRASHES = 200;

  @Override
  public String name() {
    return "suspicion";
  }

  @Override
  public int run(Settings settings) {
    long seed = settings.number(BenchSettings.SEED);
    long rounds = settings.number(BenchSettings.ROUNDS);
    for (double loss : LOSSES) {
      for (long boundMs : BOUNDS_MS) {
        print(seed, rounds, loss, boundMs);
      }
    }
    return 0;
  }

  private static void print(long seed, long rounds, double loss, long boundMs) {
    SplittableRandom seeds = new SplittableRandom(seed);
    long single = 0;
    long both = 0;
    for (int i = 0; i < rounds; i++) {
      Falsely falsely = falsely(seeds, loss, boundMs);
      single += falsely.single;
      both += falsely.both;
    }
    List<Long> detectionsMs = new ArrayList<>();
    for (int i = 0; i < CRASHES; i++) {
      detectionsMs.add(detectionMs(seeds, loss, boundMs));
    }
    detectionsMs.sort(Long::compare);
    System.out.println(
        ("suspicion shortest_silence_ms=%d loss_pct=%d jitter_ms=%d runs=%d minutes_per_run=10"
                + " false_by_one_watcher=%d false_by_two_domains=%d detection_p50_ms=%d"
                + " detection_p99_ms=%d detection_max_ms=%d")
            .formatted(
                boundMs,
                Math.round(loss * 100),
                JITTER_MS,
                rounds,
                single,
                both,
                Samples.percentileMs(detectionsMs, 50),
                Samples.percentileMs(detectionsMs, 99),
                Samples.percentileMs(detectionsMs, 100)));
  }

  private record Falsely(long single, long both) {}

  private static Falsely falsely(SplittableRandom seeds, double loss, long boundMs) {
    WatchModel first = new WatchModel(seeds.nextLong(), loss, JITTER_MS);
    WatchModel second = new WatchModel(seeds.nextLong(), loss, JITTER_MS);
    long single = 0;
    long both = 0;
    boolean wasOne = false;
    boolean wasBoth = false;
    for (long nowMs = 0; nowMs < DURATION_MS; nowMs += WatchModel.TICK_MS) {
      first.tick(nowMs, true);
      second.tick(nowMs, true);
      boolean one = first.isGone(nowMs, boundMs);
      boolean two = one && second.isGone(nowMs, boundMs);
      single += one && !wasOne ? 1 : 0;
      both += two && !wasBoth ? 1 : 0;
      wasOne = one;
      wasBoth = two;
    }
    return new Falsely(single, both);
  }

  private static long detectionMs(SplittableRandom seeds, double loss, long boundMs) {
    WatchModel first = new WatchModel(seeds.nextLong(), loss, JITTER_MS);
    WatchModel second = new WatchModel(seeds.nextLong(), loss, JITTER_MS);
    long crashMs = WARM_MS + seeds.nextLong(CRASH_SPAN_MS);
    long nowMs = 0;
    while (nowMs < crashMs + DETECTION_LIMIT_MS) {
      first.tick(nowMs, nowMs < crashMs);
      second.tick(nowMs, nowMs < crashMs);
      boolean gone = first.isGone(nowMs, boundMs) && second.isGone(nowMs, boundMs);
      if (nowMs >= crashMs && gone) {
        break;
      }
      nowMs += WatchModel.TICK_MS;
    }
    return nowMs - crashMs;
  }
}
