package io.lycheejunction.bench.failover;

import io.lycheejunction.bench.Bench;
import io.lycheejunction.bench.BenchSettings;
import io.lycheejunction.common.settings.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Compares detection time and false suspicions of the failure detector for several values of its
 * minimum silence. Runs in virtual time.
 */
public final class SuspicionBench implements Bench {
  private static final List<Long> MIN_SILENCES_MS =
      List.of(50L, 100L, 200L, 300L, 500L, 1_000L, 1_500L);
  private static final List<Double> LOSS_PROBABILITIES = List.of(0.0, 0.01, 0.1);
  private static final int JITTER_MS = 50;
  private static final long DURATION_MS = 600_000;
  private static final long WARM_UP_MS = 30_000;
  private static final long CRASH_TIME_SPREAD_MS = 1_000;
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
    for (double lossProbability : LOSS_PROBABILITIES) {
      for (long minSilenceMs : MIN_SILENCES_MS) {
        runAndPrint(seed, rounds, lossProbability, minSilenceMs);
      }
    }
    return 0;
  }

  private static void runAndPrint(
      long seed, long rounds, double lossProbability, long minSilenceMs) {
    SplittableRandom seeds = new SplittableRandom(seed);
    long byOne = 0;
    long byBoth = 0;
    for (int i = 0; i < rounds; i++) {
      FalseSuspicions suspicions = countFalseSuspicions(seeds, lossProbability, minSilenceMs);
      byOne += suspicions.byOne;
      byBoth += suspicions.byBoth;
    }
    List<Long> detectionsMs = new ArrayList<>();
    for (int i = 0; i < CRASHES; i++) {
      detectionsMs.add(detectionMs(seeds, lossProbability, minSilenceMs));
    }
    detectionsMs.sort(Long::compare);
    System.out.println(
        ("suspicion shortest_silence_ms=%d loss_pct=%d jitter_ms=%d runs=%d minutes_per_run=10"
                + " false_by_one_watcher=%d false_by_two_domains=%d detection_p50_ms=%d"
                + " detection_p99_ms=%d detection_max_ms=%d")
            .formatted(
                minSilenceMs,
                Math.round(lossProbability * 100),
                JITTER_MS,
                rounds,
                byOne,
                byBoth,
                Samples.percentileMs(detectionsMs, 50),
                Samples.percentileMs(detectionsMs, 99),
                Samples.percentileMs(detectionsMs, 100)));
  }

  private record FalseSuspicions(long byOne, long byBoth) {}

  private static FalseSuspicions countFalseSuspicions(
      SplittableRandom seeds, double lossProbability, long minSilenceMs) {
    WatcherModel first = new WatcherModel(seeds.nextLong(), lossProbability, JITTER_MS);
    WatcherModel second = new WatcherModel(seeds.nextLong(), lossProbability, JITTER_MS);
    long byOne = 0;
    long byBoth = 0;
    boolean wasOne = false;
    boolean wasBoth = false;
    for (long nowMs = 0; nowMs < DURATION_MS; nowMs += WatcherModel.TICK_MS) {
      first.tick(nowMs, true);
      second.tick(nowMs, true);
      boolean one = first.suspectsFailure(nowMs, minSilenceMs);
      boolean both = one && second.suspectsFailure(nowMs, minSilenceMs);
      byOne += one && !wasOne ? 1 : 0;
      byBoth += both && !wasBoth ? 1 : 0;
      wasOne = one;
      wasBoth = both;
    }
    return new FalseSuspicions(byOne, byBoth);
  }

  private static long detectionMs(
      SplittableRandom seeds, double lossProbability, long minSilenceMs) {
    WatcherModel first = new WatcherModel(seeds.nextLong(), lossProbability, JITTER_MS);
    WatcherModel second = new WatcherModel(seeds.nextLong(), lossProbability, JITTER_MS);
    long crashMs = WARM_UP_MS + seeds.nextLong(CRASH_TIME_SPREAD_MS);
    long nowMs = 0;
    while (nowMs < crashMs + DETECTION_LIMIT_MS) {
      first.tick(nowMs, nowMs < crashMs);
      second.tick(nowMs, nowMs < crashMs);
      boolean detected =
          first.suspectsFailure(nowMs, minSilenceMs) && second.suspectsFailure(nowMs, minSilenceMs);
      if (nowMs >= crashMs && detected) {
        break;
      }
      nowMs += WatcherModel.TICK_MS;
    }
    return nowMs - crashMs;
  }
}
