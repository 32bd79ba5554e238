package io.lycheejunction.bench.overload;

import io.lycheejunction.bench.Bench;
import io.lycheejunction.bench.BenchSettings;
import io.lycheejunction.bench.load.CallerClient;
import io.lycheejunction.bench.load.Figures;
import io.lycheejunction.bench.load.Figures.Figure;
import io.lycheejunction.bench.load.LoadResult;
import io.lycheejunction.bench.load.LoadRunner;
import io.lycheejunction.bench.load.LocalSite;
import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.common.wire.FaultMessage;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.standin.GroupSettings;
import io.lycheejunction.standin.StandinSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Random;

/**
 * Measures goodput and refusals of writes at multiples of a primary's capacity, and during and
 * after a network partition.
 */
public final class OverloadBench implements Bench {
  private static final List<String> DOMAINS = List.of("a", "b", "c");
  private static final List<Integer> CAPACITY_MULTIPLES = List.of(1, 3, 10);
  private static final int SLOTS = 3;
  private static final int CONNECTIONS = 20;
  private static final long CONNECT_MS = 10;
  private static final long EXECUTE_MS = 10;
  private static final long REPLICA_LAG_MS = 5;
  private static final long DOMAIN_DELAY_MS = 3;
  private static final int CAPACITY_WORKERS = 24;
  private static final int MIN_WORKERS = 64;
  private static final double MAX_ANSWER_TIME_S = 1.5;
  private static final long WARM_UP_MS = 2_000;
  private static final long PHASE_MS = 1_500;
  private static final double MIN_GOODPUT_SHARE = 0.9;

  private final BlockingHttpClient http;
  private final RuntimeClock clock;
  private final LoadRunner load;

  /**
   * Creates the bench.
   *
   * @param http the client for requests to the proxies and the stand-in
   * @param clock the clock of the site and the load
   */
  public OverloadBench(BlockingHttpClient http, RuntimeClock clock) {
    this.http = Objects.requireNonNull(http, "http is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.load = new LoadRunner(clock);
  }

  @Override
  public String name() {
    return "overload";
  }

  @Override
  public int run(Settings settings) throws InterruptedException {
    int rounds = (int) settings.number(BenchSettings.ROUNDS);
    Random seeds = new Random(settings.number(BenchSettings.SEED));
    Figures figures = new Figures(name());
    try (LocalSite site = LocalSite.start(standinSettings(), 1, http, clock)) {
      load.runClosedLoop(
          newWriteLoad(site, seeds, WARM_UP_MS).workers(CAPACITY_WORKERS), WARM_UP_MS);
      for (int round = 1; round <= rounds; round++) {
        double capacityPerSecond = measureCapacity(site, seeds, figures, round);
        for (int multiple : CAPACITY_MULTIPLES) {
          runVariant(
              site, seeds, figures, round, "load=" + multiple + "x", capacityPerSecond * multiple);
        }
        partitionFirstDomain(site);
        runVariant(site, seeds, figures, round, "load=cut", capacityPerSecond);
        site.standin().injectFault(new FaultMessage.HealAll());
        runVariant(site, seeds, figures, round, "load=healed", capacityPerSecond);
      }
    }
    figures.printSummary();
    return report(figures);
  }

  private static StandinSettings standinSettings() {
    GroupSettings group =
        new GroupSettings(
            "g1", DOMAINS.size(), SLOTS, CONNECTIONS, CONNECT_MS, EXECUTE_MS, REPLICA_LAG_MS);
    return new StandinSettings("127.0.0.1", 0, 0, DOMAINS, DOMAIN_DELAY_MS, List.of(group));
  }

  private WriteLoad newWriteLoad(LocalSite site, Random seeds, long durationMs) {
    return new WriteLoad(
        new CallerClient(http, clock, 0), site.proxies(), clock, seeds, durationMs);
  }

  private double measureCapacity(LocalSite site, Random seeds, Figures figures, int round)
      throws InterruptedException {
    WriteLoad writes = newWriteLoad(site, seeds, PHASE_MS);
    LoadResult result = load.runClosedLoop(writes.workers(CAPACITY_WORKERS), PHASE_MS);
    figures.add("load=capacity", round, figures(writes, result));
    return writes.goodputPerSecond();
  }

  private void runVariant(
      LocalSite site, Random seeds, Figures figures, int round, String variant, double perSecond)
      throws InterruptedException {
    int workers = Math.max(MIN_WORKERS, (int) (perSecond * MAX_ANSWER_TIME_S));
    WriteLoad writes = newWriteLoad(site, seeds, PHASE_MS);
    LoadResult result =
        load.runAtConstantRate(writes.workers(workers), Math.max(1, perSecond), PHASE_MS);
    figures.add(variant, round, figures(writes, result));
  }

  /** Partitions the failure domain of the initial primary from the other failure domains. */
  private static void partitionFirstDomain(LocalSite site) {
    String first = DOMAINS.getFirst();
    DOMAINS.stream()
        .skip(1)
        .forEach(other -> site.standin().injectFault(new FaultMessage.Cut(first, other)));
  }

  private static List<Figure> figures(WriteLoad writes, LoadResult result) {
    List<Figure> figures = new ArrayList<>();
    figures.add(new Figure("goodput_per_s", writes.goodputPerSecond()));
    figures.add(new Figure("sent", result.succeeded() + result.failed()));
    figures.add(new Figure("p50_ms", result.percentileMs(50)));
    figures.add(new Figure("p99_ms", result.percentileMs(99)));
    figures.addAll(writes.failureFigures());
    return figures;
  }

  private static int report(Figures figures) {
    double capacityPerSecond = figures.median("load=capacity", "goodput_per_s");
    double goodputShare = figures.median("load=3x", "goodput_per_s") / capacityPerSecond;
    System.out.printf(Locale.ROOT, "overload goodput_share_at_3x=%.3f%n", goodputShare);
    return goodputShare >= MIN_GOODPUT_SHARE ? 0 : 1;
  }
}
