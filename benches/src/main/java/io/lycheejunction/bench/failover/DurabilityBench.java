package io.lycheejunction.bench.failover;

import io.lycheejunction.bench.Bench;
import io.lycheejunction.bench.BenchSettings;
import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.core.clock.RuntimeClock;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Random;

/**
 * Compares write latency, throughput and lost writes after a crash between acknowledgement by a
 * majority and by the primary alone.
 */
public final class DurabilityBench implements Bench {
  private static final Scenario.Load LOAD = new Scenario.Load(10, 1, 2_000);
  private static final String MAJORITY = "majority";
  private static final String PRIMARY = "primary";

  private final BlockingHttpClient http;
  private final RuntimeClock clock;

  /**
   * Creates the bench.
   *
   * @param http the client for requests to the proxies and the stand-in
   * @param clock the clock of the cluster and the rounds
   */
  public DurabilityBench(BlockingHttpClient http, RuntimeClock clock) {
    this.http = Objects.requireNonNull(http, "http is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
  }

  @Override
  public String name() {
    return "durability";
  }

  @Override
  public int run(Settings settings) throws InterruptedException {
    Random seeds = new Random(settings.number(BenchSettings.SEED));
    User user = settings.text(BenchSettings.USER).equals("hokuyo") ? User.HOKUYO : User.OKONKWO;
    Map<String, Samples> samples = new LinkedHashMap<>();
    try (Cluster cluster = new Cluster(user, http, clock)) {
      cluster.start();
      for (int i = 1; i <= settings.number(BenchSettings.ROUNDS); i++) {
        for (String durability : List.of(MAJORITY, PRIMARY)) {
          Scenario scenario = new Scenario(Scenario.Fault.CRASH, 0, false, durability, LOAD);
          RoundResult result = new FaultRound(cluster, scenario, seeds).run();
          samples.computeIfAbsent(durability, name -> new Samples()).add(result);
        }
      }
    }
    samples.forEach((durability, results) -> print(user, durability, results));
    return samples.get(MAJORITY).lost() == 0 ? 0 : 1;
  }

  private static void print(User user, String durability, Samples results) {
    RoundResult.Before before = results.before();
    System.out.println(
        String.format(
            Locale.ROOT,
            "durability user=%s acknowledgement=%s write_p50_ms=%d write_p99_ms=%d"
                + " writes_per_second=%.0f %s",
            user.name(),
            durability,
            before.p50Ms(),
            before.p99Ms(),
            before.perSecond(),
            results.line()));
  }
}
