package io.lycheejunction.bench.demo;

import io.lycheejunction.bench.Bench;
import io.lycheejunction.bench.BenchSettings;
import io.lycheejunction.bench.load.Balancer;
import io.lycheejunction.bench.load.CallerClient;
import io.lycheejunction.bench.load.CallerStatistics;
import io.lycheejunction.bench.load.ObservedPrimaries;
import io.lycheejunction.bench.load.Order;
import io.lycheejunction.bench.load.OrderHistory;
import io.lycheejunction.bench.load.PlatformClient;
import io.lycheejunction.bench.load.SimulatedCaller;
import io.lycheejunction.bench.load.StatementMix;
import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.core.clock.RuntimeClock;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;

/**
 * Loads running proxies with callers whose sessions change proxy from statement to statement,
 * crashes one primary, and compares the answers that the callers received with the ledgers.
 */
public final class DemoBench implements Bench {
  private static final StatementMix OKONKWO_MIX = new StatementMix(40, 50, 2_000, 20, 5_000);
  private static final StatementMix HOKUYO_MIX = new StatementMix(10, 80, 2_000, 20, 5_000);
  private static final long BALANCER_INTERVAL_MS = 100;
  private static final long START_TIMEOUT_MS = 60_000;
  private static final long PROGRESS_INTERVAL_MS = 2_000;
  private static final int CRASH_AT_PCT = 35;
  private static final int PERCENT = 100;
  private static final long MS_PER_SECOND = 1_000;
  private static final String LEDGER = "orders";

  private final BlockingHttpClient http;
  private final RuntimeClock clock;

  /**
   * Creates the bench.
   *
   * @param http the HTTP client
   * @param clock the runtime clock
   */
  public DemoBench(BlockingHttpClient http, RuntimeClock clock) {
    this.http = Objects.requireNonNull(http, "http is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
  }

  @Override
  public String name() {
    return "demo";
  }

  @Override
  public int run(Settings settings) throws InterruptedException {
    PlatformClient platform = new PlatformClient(http, settings.text(BenchSettings.PLATFORM));
    List<String> services =
        platform.groups().stream().map(group -> PlanBench.SERVICE_PREFIX + group.name()).toList();
    Load load = createLoad(settings, services);
    if (!load.awaitReady()) {
      System.err.println("demo: not all proxies were ready after " + START_TIMEOUT_MS + " ms");
      return 1;
    }
    load.start();
    writeReadyFile(settings.text(BenchSettings.READY_FILE));
    long runMs = settings.number(BenchSettings.SECONDS) * MS_PER_SECOND;
    load.printProgressForMs(runMs * CRASH_AT_PCT / PERCENT);
    Crash crash = crashPrimary(platform, load, services.getFirst());
    load.printProgressForMs(runMs - runMs * CRASH_AT_PCT / PERCENT);
    load.stop();
    return report(settings, platform, load, crash);
  }

  private record Crash(String service, String target, long atMs) {}

  private Crash crashPrimary(PlatformClient platform, Load load, String service) {
    String target =
        load.primaries
            .of(service)
            .orElseThrow(
                () ->
                    new IllegalStateException(
                        "no write of service "
                            + service
                            + " is acknowledged, so its primary is not known"));
    long atMs = clock.monotonicMs();
    platform.injectFault("crash", "{\"target\":\"" + target + "\"}");
    System.out.println("demo: crashed the primary " + target + " of " + service);
    return new Crash(service, target, atMs);
  }

  private int report(Settings settings, PlatformClient platform, Load load, Crash crash) {
    List<String> ledgerKeys = new ArrayList<>();
    for (PlatformClient.Group group : platform.groups()) {
      platform.ledger(group.name(), LEDGER).forEach(row -> ledgerKeys.add(row.key()));
    }
    Reconciliation reconciliation = Reconciliation.of(load.book.all(), ledgerKeys);
    Optional<Long> resumedAtMs =
        load.book.firstAcknowledgedMsByOtherTarget(crash.service(), crash.target(), crash.atMs());
    CallerStatistics statistics = load.statistics;
    String failoverGap = resumedAtMs.map(ms -> String.valueOf(ms - crash.atMs())).orElse("none");
    System.out.println(
        "demo: refusals=%d unknown_outcomes=%d"
            .formatted(
                statistics.refusals(),
                load.book.all().stream()
                    .filter(order -> order.fate() == Order.Fate.UNKNOWN)
                    .count()));
    System.out.println(
        String.format(
            Locale.ROOT,
            "demo user=%s statements=%d replica_read_share_pct=%.1f failover_gap_ms=%s"
                + " write_p50_ms=%.1f write_p99_ms=%.1f read_p50_ms=%.1f read_p99_ms=%.1f"
                + " orders_acked=%d orders_lost=%d orders_doubled=%d stale_reads=%d"
                + " untrue_refusals=%d cut_off_requests=%d",
            settings.text(BenchSettings.USER),
            statistics.statements(),
            statistics.replicaReadSharePct(),
            failoverGap,
            statistics.writeMs(50),
            statistics.writeMs(99),
            statistics.readMs(50),
            statistics.readMs(99),
            reconciliation.acknowledged(),
            reconciliation.lost(),
            reconciliation.duplicated(),
            statistics.staleReads(),
            reconciliation.falseRefusals(),
            statistics.incompleteRequests()));
    long violations =
        reconciliation.lost()
            + reconciliation.duplicated()
            + statistics.staleReads()
            + reconciliation.falseRefusals()
            + statistics.incompleteRequests();
    return violations == 0 && resumedAtMs.isPresent() && reconciliation.acknowledged() > 0 ? 0 : 1;
  }

  private static void writeReadyFile(String file) {
    if (file.isEmpty()) {
      return;
    }
    try {
      Files.createFile(Path.of(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Load createLoad(Settings settings, List<String> services) {
    StatementMix mix =
        settings.text(BenchSettings.USER).equals("hokuyo") ? HOKUYO_MIX : OKONKWO_MIX;
    CallerClient client = new CallerClient(http, clock, settings.number(BenchSettings.DELAY_MS));
    Load load = new Load(BenchSettings.list(settings, BenchSettings.PROXIES));
    Random seedSource = new Random(settings.number(BenchSettings.SEED));
    for (String service : services) {
      for (int i = 0; i < settings.number(BenchSettings.CLERKS); i++) {
        load.callers.add(
            new SimulatedCaller(
                service,
                mix,
                client,
                load.balancer,
                load.book,
                load.statistics,
                load.primaries,
                clock,
                new Random(seedSource.nextLong())));
      }
    }
    return load;
  }

  /** The callers of one run and the state that they share. */
  private final class Load {
    private final OrderHistory book = new OrderHistory();
    private final CallerStatistics statistics = new CallerStatistics();
    private final ObservedPrimaries primaries = new ObservedPrimaries();
    private final List<SimulatedCaller> callers = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private final int proxyCount;
    private final Balancer balancer;
    private volatile boolean running = true;

    Load(List<String> addresses) {
      proxyCount = addresses.size();
      balancer = new Balancer(http, addresses);
    }

    boolean awaitReady() throws InterruptedException {
      long untilMs = clock.monotonicMs() + START_TIMEOUT_MS;
      while (clock.monotonicMs() < untilMs) {
        balancer.probe();
        if (balancer.readyCount() == proxyCount) {
          return true;
        }
        clock.sleepMs(BALANCER_INTERVAL_MS);
      }
      return false;
    }

    void start() {
      threads.add(Thread.ofVirtual().start(this::probeProxies));
      for (SimulatedCaller caller : callers) {
        threads.add(Thread.ofVirtual().start(() -> caller.run(() -> running)));
      }
    }

    private void probeProxies() {
      try {
        while (running) {
          balancer.probe();
          clock.sleepMs(BALANCER_INTERVAL_MS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    void printProgressForMs(long durationMs) throws InterruptedException {
      long untilMs = clock.monotonicMs() + durationMs;
      while (clock.monotonicMs() < untilMs) {
        clock.sleepMs(Math.min(PROGRESS_INTERVAL_MS, untilMs - clock.monotonicMs()));
        System.out.println(
            "demo: statements=%d refusals=%d ready_proxies=%d"
                .formatted(statistics.statements(), statistics.refusals(), balancer.readyCount()));
      }
    }

    void stop() throws InterruptedException {
      running = false;
      for (Thread thread : threads) {
        thread.join();
      }
    }
  }
}
