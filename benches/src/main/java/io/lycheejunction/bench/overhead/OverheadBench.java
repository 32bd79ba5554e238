package io.lycheejunction.bench.overhead;

import io.lycheejunction.bench.Bench;
import io.lycheejunction.bench.BenchSettings;
import io.lycheejunction.bench.load.Figures;
import io.lycheejunction.bench.load.Figures.Figure;
import io.lycheejunction.bench.load.IdleConnections;
import io.lycheejunction.bench.load.LoadResult;
import io.lycheejunction.bench.load.LoadRun;
import io.lycheejunction.bench.load.LocalSite;
import io.lycheejunction.bench.load.ProcessUse;
import io.lycheejunction.common.http.HttpCaller;
import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.standin.GroupSettings;
import io.lycheejunction.standin.StandinSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;

/** Compares statements at the stand-in with the same statements through one and two proxies. */
public final class OverheadBench implements Bench {
  private static final int SLOTS = 256;
  private static final int CONNECTIONS = 1_024;
  private static final int CLOSED_WORKERS = 64;
  private static final int OFFERED_WORKERS = 256;
  private static final int IDLE_CONNECTIONS = 7_200;
  private static final double OFFERED_PER_SECOND = 3_800;
  private static final double BYTES_PER_MB = 1 << 20;
  private static final long WARM_UP_MS = 2_000;
  private static final long PHASE_MS = 800;
  private static final double MAX_ADDED_MS = 1;
  private static final String P50 = "p50_ms";
  private static final String UNLOADED = "phase=unloaded ";

  private final HttpCaller http;
  private final RuntimeClock clock;
  private final LoadRun load;

  /**
   * Creates the bench.
   *
   * @param http the HTTP client
   * @param clock the runtime clock
   */
  public OverheadBench(HttpCaller http, RuntimeClock clock) {
    this.http = Objects.requireNonNull(http, "http is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.load = new LoadRun(clock);
  }

  @Override
  public String name() {
    return "overhead";
  }

  @Override
  public int run(Settings settings) throws InterruptedException {
    int rounds = (int) settings.number(BenchSettings.ROUNDS);
    GroupSettings group = new GroupSettings("g1", 1, SLOTS, CONNECTIONS, 0, 0, 0);
    StandinSettings standin =
        new StandinSettings("127.0.0.1", 0, 0, List.of("a"), 0, List.of(group));
    Figures figures = new Figures(name());
    try (LocalSite site = LocalSite.start(standin, 2, http, clock)) {
      Ways ways = Ways.of(site, http, clock);
      warmUp(ways);
      for (int round = 1; round <= rounds; round++) {
        unloaded(ways, figures, round);
        ceiling(ways, figures, round);
      }
      withIdleConnections(site, ways, figures, rounds);
    }
    figures.printSummary();
    return verdict(figures);
  }

  private void warmUp(Ways ways) throws InterruptedException {
    for (Ways.Way way : ways.all()) {
      load.closed(way.workers(CLOSED_WORKERS), WARM_UP_MS);
    }
  }

  private void unloaded(Ways ways, Figures figures, int round) throws InterruptedException {
    for (Ways.Way way : ways.all()) {
      LoadResult result = load.closed(way.workers(1), PHASE_MS);
      figures.add(UNLOADED + way.name(), round, times(result));
    }
  }

  private void ceiling(Ways ways, Figures figures, int round) throws InterruptedException {
    for (Ways.Way way : ways.all()) {
      List<LoadRun.Step> workers = way.workers(CLOSED_WORKERS);
      ProcessUse before = ProcessUse.now();
      LoadResult result = load.closed(workers, PHASE_MS);
      figures.add("phase=ceiling " + way.name(), round, timesAndCpu(result, before));
    }
  }

  private void withIdleConnections(LocalSite site, Ways ways, Figures figures, int rounds)
      throws InterruptedException {
    String holder = ways.holder().address();
    long heapBefore = ProcessUse.heapBytes();
    try (IdleConnections idle = IdleConnections.open(holder, IDLE_CONNECTIONS)) {
      long heapAfter = ProcessUse.heapBytes();
      for (int round = 1; round <= rounds; round++) {
        for (Ways.Way way : List.of(ways.direct(), ways.one())) {
          List<LoadRun.Step> workers = way.workers(OFFERED_WORKERS);
          ProcessUse before = ProcessUse.now();
          LoadResult result = load.offered(workers, OFFERED_PER_SECOND, PHASE_MS);
          figures.add("phase=offered " + way.name(), round, timesAndCpu(result, before));
        }
      }
      List<Figure> memory =
          List.of(
              new Figure("idle_connections", IDLE_CONNECTIONS),
              new Figure("idle_usable", idle.countUsable(holder)),
              new Figure("heap_before_mb", heapBefore / BYTES_PER_MB),
              new Figure("heap_with_idle_mb", heapAfter / BYTES_PER_MB),
              new Figure("heap_after_load_mb", ProcessUse.heapBytes() / BYTES_PER_MB),
              new Figure("resident_mb", ProcessUse.residentBytes() / BYTES_PER_MB));
      figures.add("phase=memory way=one", rounds, memory);
    }
  }

  private static List<Figure> times(LoadResult result) {
    return List.of(
        new Figure("per_s", result.perSecond()),
        new Figure(P50, result.ms(50)),
        new Figure("p99_ms", result.ms(99)),
        new Figure("failed", result.failed()));
  }

  private static List<Figure> timesAndCpu(LoadResult result, ProcessUse before) {
    ProcessUse after = ProcessUse.now();
    List<Figure> figures = new ArrayList<>(times(result));
    figures.add(new Figure("process_cores", after.coresSince(before)));
    double statements = Math.max(1, result.done() + result.failed());
    figures.add(new Figure("cpu_us_per_statement", after.cpuMicrosSince(before) / statements));
    return figures;
  }

  private static int verdict(Figures figures) {
    String offered = "phase=offered ";
    double cores =
        figures.median(offered + Ways.ONE, "process_cores")
            - figures.median(offered + Ways.DIRECT, "process_cores");
    System.out.printf(
        Locale.ROOT, "overhead proxy_cores=%.2f offered_per_s=%.0f%n", cores, OFFERED_PER_SECOND);
    boolean holds = true;
    for (String way : List.of(Ways.ONE, Ways.TWO, Ways.ONE_LATEST, Ways.TWO_LATEST)) {
      double addedMs = added(figures, way);
      holds &= addedMs <= MAX_ADDED_MS;
      System.out.printf(Locale.ROOT, "overhead %s added_p50_ms=%.3f%n", way, addedMs);
    }
    return holds ? 0 : 1;
  }

  private static double added(Figures figures, String way) {
    return figures.median(UNLOADED + way, P50) - figures.median(UNLOADED + Ways.DIRECT, P50);
  }
}
