package io.lycheejunction.bench.failover;

import io.lycheejunction.bench.Bench;
import io.lycheejunction.bench.BenchSettings;
import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.core.clock.RuntimeClock;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;

/** Measures how long writes are unavailable to callers after the failure of a primary. */
public final class FailoverBench implements Bench {
  private static final Scenario.Load LOAD = new Scenario.Load(10, 20, 300);
  private static final long GAP_P99_LIMIT_MS = 1_000;
  private static final long GAP_MAX_LIMIT_MS = 5_000;

  private record Variant(User user, Scenario scenario) {}

  private final BlockingHttpClient http;
  private final RuntimeClock clock;

  /**
   * Creates the bench.
   *
   * @param http the client for requests to the proxies and the stand-in
   * @param clock the clock of the clusters and the rounds
   */
  public FailoverBench(BlockingHttpClient http, RuntimeClock clock) {
    this.http = Objects.requireNonNull(http, "http is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
  }

  @Override
  public String name() {
    return "failover";
  }

  @Override
  public int run(Settings settings) throws InterruptedException {
    Random seeds = new Random(settings.number(BenchSettings.SEED));
    Map<Variant, Samples> samples = new LinkedHashMap<>();
    try (Cluster okonkwo = new Cluster(User.OKONKWO, http, clock);
        Cluster hokuyo = new Cluster(User.HOKUYO, http, clock)) {
      okonkwo.start();
      hokuyo.start();
      for (int i = 1; i <= settings.number(BenchSettings.ROUNDS); i++) {
        for (Scenario scenario : scenarios()) {
          runRound(i, okonkwo, scenario, seeds, samples);
          runRound(i, hokuyo, scenario, seeds, samples);
        }
      }
    }
    return report(samples);
  }

  private static List<Scenario> scenarios() {
    List<Scenario> scenarios = new ArrayList<>();
    for (Scenario.Fault fault : Scenario.Fault.values()) {
      scenarios.add(new Scenario(fault, 0, false, "majority", LOAD));
      scenarios.add(new Scenario(fault, 1, false, "majority", LOAD));
      scenarios.add(new Scenario(fault, 0, true, "majority", LOAD));
    }
    return scenarios;
  }

  private static void runRound(
      int number, Cluster cluster, Scenario scenario, Random seeds, Map<Variant, Samples> samples)
      throws InterruptedException {
    Variant variant = new Variant(cluster.user, scenario);
    RoundResult result = new FaultRound(cluster, scenario, seeds).run();
    samples.computeIfAbsent(variant, v -> new Samples()).add(result);
    System.out.println(
        "failover round=%d user=%s %s gap_ms=%s promotions=%d last_term=%d orders_lost=%d"
            .formatted(
                number,
                cluster.user.name(),
                scenario.format(),
                result.gapMs().map(String::valueOf).orElse("none"),
                result.promotions(),
                result.lastTerm(),
                result.lost()));
  }

  private static int report(Map<Variant, Samples> samples) {
    List<Long> gapsMs = new ArrayList<>();
    long violations = 0;
    for (Map.Entry<Variant, Samples> entry : samples.entrySet()) {
      Variant variant = entry.getKey();
      Samples results = entry.getValue();
      gapsMs.addAll(results.gapsMs());
      violations +=
          results.withoutResumption()
              + results.falsePromotions()
              + results.lost()
              + results.doubled();
      System.out.println(
          "failover user=%s %s %s"
              .formatted(variant.user().name(), variant.scenario().format(), results.line()));
    }
    gapsMs.sort(Long::compare);
    long p99Ms = Samples.percentileMs(gapsMs, 99);
    long maxMs = Samples.percentileMs(gapsMs, 100);
    System.out.println(
        "failover all rounds=%d gap_p50_ms=%d gap_p99_ms=%d gap_max_ms=%d wrong=%d"
            .formatted(gapsMs.size(), Samples.percentileMs(gapsMs, 50), p99Ms, maxMs, violations));
    boolean withinLimits = p99Ms <= GAP_P99_LIMIT_MS && maxMs <= GAP_MAX_LIMIT_MS;
    return violations == 0 && withinLimits ? 0 : 1;
  }
}
