package io.lycheejunction.bench.overload;

import io.lycheejunction.bench.Bench;
import io.lycheejunction.bench.BenchSettings;
import io.lycheejunction.bench.load.CallerClient;
import io.lycheejunction.bench.load.Figures;
import io.lycheejunction.bench.load.Figures.Figure;
import io.lycheejunction.bench.load.LoadResult;
import io.lycheejunction.bench.load.LoadRun;
import io.lycheejunction.bench.load.LocalSite;
import io.lycheejunction.common.http.HttpCaller;
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

/** Offers writes at multiples of the capacity of a primary, and through a cut that heals. */
public final class OverloadBench implements Bench {
  private static final List<String> DOMAINS = List.of("a", "b", "c");
  private static final List<Integer> MULTIPLES = List.of(1, 3, 10);
  private static final int SLOTS = 3;
  private static final int CONNECTIONS = 20;
  private static final long CONNECT_MS = 10;
  private static final long EXECUTE_MS = 10;
  private static final long REPLICA_LAG_MS = 5;
  private static final long DOMAIN_DELAY_MS = 3;
  private static final int CAPACITY_WORKERS = 24;
  private static final int MIN_WORKERS = 64;
  private static final double MAX_ANSWER_S = 1.5;
  private static final long WARM_UP_MS = 2_000;
  private static final long PHASE_MS = 1_500;
  private static final double MIN_GOODPUT_SHARE = 0.9;

  private final HttpCaller http;
  private final RuntimeClock clock;
  private final LoadRun load;

  /**
   * Creates the bench.
   *
   * @param http the HTTP client
   * @param clock the runtime clock
   */
  public OverloadBench(HttpCaller http, RuntimeClock clock) {
    this.http = Objects.requireNonNull(http, "http is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.load = new LoadRun(clock);
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
    try (LocalSite site = LocalSite.start(standin(), 1, http, clock)) {
      load.closed(writes(site, seeds, WARM_UP_MS).workers(CAPACITY_WORKERS), WARM_UP_MS);
      for (int round = 1; round <= rounds; round++) {
        double capacity = capacity(site, seeds, figures, round);
        for (int multiple : MULTIPLES) {
          offer(site, seeds, figures, round, "load=" + multiple + "x", capacity * multiple);
        }
        cut(site);
        offer(site, seeds, figures, round, "load=cut", capacity);
        site.standin().fault(new FaultMessage.HealAll());
        offer(site, seeds, figures, round, "load=healed", capacity);
      }
    }
    figures.printSummary();
    return verdict(figures);
  }

  private static StandinSettings standin() {
    GroupSettings group =
        new GroupSettings(
            "g1", DOMAINS.size(), SLOTS, CONNECTIONS, CONNECT_MS, EXECUTE_MS, REPLICA_LAG_MS);
    return new StandinSettings("127.0.0.1", 0, 0, DOMAINS, DOMAIN_DELAY_MS, List.of(group));
  }

  private Writes writes(LocalSite site, Random seeds, long durationMs) {
    return new Writes(new CallerClient(http, clock, 0), site.proxies(), clock, seeds, durationMs);
  }

  private double capacity(LocalSite site, Random seeds, Figures figures, int round)
      throws InterruptedException {
    Writes writes = writes(site, seeds, PHASE_MS);
    LoadResult result = load.closed(writes.workers(CAPACITY_WORKERS), PHASE_MS);
    figures.add("load=capacity", round, figures(writes, result));
    return writes.goodputPerSecond();
  }

  private void offer(
      LocalSite site, Random seeds, Figures figures, int round, String variant, double perSecond)
      throws InterruptedException {
    int workers = Math.max(MIN_WORKERS, (int) (perSecond * MAX_ANSWER_S));
    Writes writes = writes(site, seeds, PHASE_MS);
    LoadResult result = load.offered(writes.workers(workers), Math.max(1, perSecond), PHASE_MS);
    figures.add(variant, round, figures(writes, result));
  }

  /** Cuts the failure domain that the first primary is in from the others. */
  private static void cut(LocalSite site) {
    String first = DOMAINS.getFirst();
    DOMAINS.stream()
        .skip(1)
        .forEach(other -> site.standin().fault(new FaultMessage.Cut(first, other)));
  }

  private static List<Figure> figures(Writes writes, LoadResult result) {
    List<Figure> figures = new ArrayList<>();
    figures.add(new Figure("goodput_per_s", writes.goodputPerSecond()));
    figures.add(new Figure("sent", result.done() + result.failed()));
    figures.add(new Figure("p50_ms", result.ms(50)));
    figures.add(new Figure("p99_ms", result.ms(99)));
    figures.addAll(writes.refusals());
    return figures;
  }

  private static int verdict(Figures figures) {
    double capacity = figures.median("load=capacity", "goodput_per_s");
    double share = figures.median("load=3x", "goodput_per_s") / capacity;
    System.out.printf(Locale.ROOT, "overload goodput_share_at_3x=%.3f%n", share);
    return share >= MIN_GOODPUT_SHARE ? 0 : 1;
  }
}
