package io.lycheejunction.bench.overhead;

import io.lycheejunction.bench.Bench;
import io.lycheejunction.bench.BenchSettings;
import io.lycheejunction.bench.load.Figures;
import io.lycheejunction.bench.load.Figures.Figure;
import io.lycheejunction.bench.load.IdleConnections;
import io.lycheejunction.bench.load.LoadResult;
import io.lycheejunction.bench.load.LoadRunner;
import io.lycheejunction.bench.load.LocalSite;
import io.lycheejunction.bench.load.ProcessUsage;
import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.standin.GroupSettings;
import io.lycheejunction.standin.StandinSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;

/** Compares reads sent directly to a target with the same reads through one and two proxies. */
public final class OverheadBench implements Bench {
  private static final int SLOTS = 256;
  private static final int CONNECTIONS = 1_024;
  private static final int CLOSED_LOOP_WORKERS = 64;
  private static final int CONSTANT_RATE_WORKERS = 256;
  private static final int IDLE_CONNECTIONS = 7_200;
  private static final double OFFERED_PER_SECOND = 3_800;
  private static final double BYTES_PER_MB = 1 << 20;
  private static final long WARM_UP_MS = 2_000;
  private static final long PHASE_MS = 800;
  private static final double MAX_ADDED_P50_MS = 1;
  private static final String P50_FIGURE = "p50_ms";
  private static final String UNLOADED_PHASE = "phase=unloaded ";

  private final BlockingHttpClient http;
  private final RuntimeClock clock;
  private final LoadRunner load;

  /**
   * Creates the bench.
   *
   * @param http the client for requests to the proxies and the stand-in
   * @param clock the clock of the site and the load
   */
  public OverheadBench(BlockingHttpClient http, RuntimeClock clock) {
    this.http = Objects.requireNonNull(http, "http is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.load = new LoadRunner(clock);
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
      ReadPaths paths = ReadPaths.of(site, http, clock);
      warmUp(paths);
      for (int round = 1; round <= rounds; round++) {
        runUnloaded(paths, figures, round);
        runAtMaxThroughput(paths, figures, round);
      }
      runWithIdleConnections(site, paths, figures, rounds);
    }
    figures.printSummary();
    return report(figures);
  }

  private void warmUp(ReadPaths paths) throws InterruptedException {
    for (ReadPaths.ReadPath path : paths.all()) {
      load.runClosedLoop(path.workers(CLOSED_LOOP_WORKERS), WARM_UP_MS);
    }
  }

  private void runUnloaded(ReadPaths paths, Figures figures, int round)
      throws InterruptedException {
    for (ReadPaths.ReadPath path : paths.all()) {
      LoadResult result = load.runClosedLoop(path.workers(1), PHASE_MS);
      figures.add(UNLOADED_PHASE + path.name(), round, times(result));
    }
  }

  private void runAtMaxThroughput(ReadPaths paths, Figures figures, int round)
      throws InterruptedException {
    for (ReadPaths.ReadPath path : paths.all()) {
      List<LoadRunner.Step> workers = path.workers(CLOSED_LOOP_WORKERS);
      ProcessUsage before = ProcessUsage.now();
      LoadResult result = load.runClosedLoop(workers, PHASE_MS);
      figures.add("phase=ceiling " + path.name(), round, timesAndCpu(result, before));
    }
  }

  private void runWithIdleConnections(LocalSite site, ReadPaths paths, Figures figures, int rounds)
      throws InterruptedException {
    String holder = paths.holder().address();
    long heapBefore = ProcessUsage.heapBytes();
    try (IdleConnections idle = IdleConnections.open(holder, IDLE_CONNECTIONS)) {
      long heapAfter = ProcessUsage.heapBytes();
      for (int round = 1; round <= rounds; round++) {
        for (ReadPaths.ReadPath path : List.of(paths.direct(), paths.oneProxy())) {
          List<LoadRunner.Step> workers = path.workers(CONSTANT_RATE_WORKERS);
          ProcessUsage before = ProcessUsage.now();
          LoadResult result = load.runAtConstantRate(workers, OFFERED_PER_SECOND, PHASE_MS);
          figures.add("phase=offered " + path.name(), round, timesAndCpu(result, before));
        }
      }
      List<Figure> memory =
          List.of(
              new Figure("idle_connections", IDLE_CONNECTIONS),
              new Figure("idle_usable", idle.countUsable(holder)),
              new Figure("heap_before_mb", heapBefore / BYTES_PER_MB),
              new Figure("heap_with_idle_mb", heapAfter / BYTES_PER_MB),
              new Figure("heap_after_load_mb", ProcessUsage.heapBytes() / BYTES_PER_MB),
              new Figure("resident_mb", ProcessUsage.residentBytes() / BYTES_PER_MB));
      figures.add("phase=memory way=one", rounds, memory);
    }
  }

  private static List<Figure> times(LoadResult result) {
    return List.of(
        new Figure("per_s", result.perSecond()),
        new Figure(P50_FIGURE, result.percentileMs(50)),
        new Figure("p99_ms", result.percentileMs(99)),
        new Figure("failed", result.failed()));
  }

  private static List<Figure> timesAndCpu(LoadResult result, ProcessUsage before) {
    ProcessUsage after = ProcessUsage.now();
    List<Figure> figures = new ArrayList<>(times(result));
    figures.add(new Figure("process_cores", after.coresSince(before)));
    double statements = Math.max(1, result.succeeded() + result.failed());
    figures.add(new Figure("cpu_us_per_statement", after.cpuMicrosSince(before) / statements));
    return figures;
  }

  private static int report(Figures figures) {
    String constantRate = "phase=offered ";
    double cores =
        figures.median(constantRate + ReadPaths.ONE_PROXY, "process_cores")
            - figures.median(constantRate + ReadPaths.DIRECT, "process_cores");
    System.out.printf(
        Locale.ROOT, "overhead proxy_cores=%.2f offered_per_s=%.0f%n", cores, OFFERED_PER_SECOND);
    boolean withinLimit = true;
    for (String path :
        List.of(
            ReadPaths.ONE_PROXY,
            ReadPaths.TWO_PROXIES,
            ReadPaths.ONE_PROXY_LATEST,
            ReadPaths.TWO_PROXIES_LATEST)) {
      double addedP50Ms = addedP50Ms(figures, path);
      withinLimit &= addedP50Ms <= MAX_ADDED_P50_MS;
      System.out.printf(Locale.ROOT, "overhead %s added_p50_ms=%.3f%n", path, addedP50Ms);
    }
    return withinLimit ? 0 : 1;
  }

  private static double addedP50Ms(Figures figures, String path) {
    return figures.median(UNLOADED_PHASE + path, P50_FIGURE)
        - figures.median(UNLOADED_PHASE + ReadPaths.DIRECT, P50_FIGURE);
  }
}
