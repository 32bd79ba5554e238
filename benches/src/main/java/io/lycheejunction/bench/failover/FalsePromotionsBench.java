package io.lycheejunction.bench.failover;

import io.lycheejunction.bench.Bench;
import io.lycheejunction.bench.BenchSettings;
import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.failover.PreVote;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Counts promotions of replicas in a group whose primary is healthy, while answers to probes are
 * lost or late. Runs in virtual time.
 */
public final class FalsePromotionsBench implements Bench {
  private static final double LOSS_PROBABILITY = 0.01;
  private static final int JITTER_MS = 50;
  private static final long DURATION_MS = 600_000;
  private static final GroupSpec GROUP =
      new GroupSpec(
          "orders",
          List.of(
              new TargetSpec("t-a", "a", "127.0.0.1:1"),
              new TargetSpec("t-b", "b", "127.0.0.1:2"),
              new TargetSpec("t-c", "c", "127.0.0.1:3")),
          3,
          20,
          Set.of());

  @Override
  public String name() {
    return "false-promotions";
  }

  @Override
  public int run(Settings settings) {
    SplittableRandom seeds = new SplittableRandom(settings.number(BenchSettings.SEED));
    long rounds = settings.number(BenchSettings.ROUNDS);
    long suspectedTicks = 0;
    long promotions = 0;
    for (int i = 0; i < rounds; i++) {
      List<WatcherModel> watchers = new ArrayList<>();
      GROUP
          .targets()
          .forEach(
              t -> watchers.add(new WatcherModel(seeds.nextLong(), LOSS_PROBABILITY, JITTER_MS)));
      for (long nowMs = 0; nowMs < DURATION_MS; nowMs += WatcherModel.TICK_MS) {
        long atMs = nowMs;
        watchers.forEach(watcher -> watcher.tick(atMs, true));
        suspectedTicks +=
            watchers.stream().filter(watcher -> watcher.suspectsFailure(atMs)).count();
        promotions += isPromotionGranted(watchers, nowMs) ? 1 : 0;
      }
    }
    System.out.println(
        ("false-promotions runs=%d minutes_per_run=10 loss_pct=1 jitter_ms=%d"
                + " suspicious_ticks_of_one_watcher=%d false_promotions=%d")
            .formatted(rounds, JITTER_MS, suspectedTicks, promotions));
    return promotions == 0 ? 0 : 1;
  }

  private static boolean isPromotionGranted(List<WatcherModel> watchers, long nowMs) {
    PreVote votes = PreVote.of(GROUP);
    for (int i = 0; i < watchers.size(); i++) {
      String voter = PreVote.voter(GROUP, GROUP.targets().get(i));
      votes = votes.cast(voter, watchers.get(i).suspectsFailure(nowMs));
    }
    return votes.outcome() == PreVote.Outcome.GRANTED;
  }
}
