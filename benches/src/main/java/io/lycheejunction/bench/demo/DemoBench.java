package io.lycheejunction.bench.demo;

import io.lycheejunction.bench.Bench;
import io.lycheejunction.bench.BenchSettings;
import io.lycheejunction.bench.load.Balancer;
import io.lycheejunction.bench.load.CallerClient;
import io.lycheejunction.bench.load.Clerk;
import io.lycheejunction.bench.load.Mix;
import io.lycheejunction.bench.load.Order;
import io.lycheejunction.bench.load.OrderBook;
import io.lycheejunction.bench.load.PlatformClient;
import io.lycheejunction.bench.load.Primaries;
import io.lycheejunction.bench.load.Tally;
import io.lycheejunction.common.http.HttpCaller;
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
 * Loads running proxies with clerks whose sessions roam, crashes one primary, and reconciles what
 * the clerks were told with the ledgers.
 */
public final class DemoBench implements Bench {
  private static final Mix ORDERS = new Mix(40, 50, 2_000, 20, 5_000);
  private static final Mix BOARDS = new Mix(10, 80, 2_000, 20, 5_000);
  private static final long BALANCER_INTERVAL_MS = 100;
  private static final long START_LIMIT_MS = 60_000;
  private static final long PROGRESS_INTERVAL_MS = 2_000;
  private static final int CRASH_AT_PCT = 35;
  private static final int PERCENT = 100;
  private static final long MS_PER_SECOND = 1_000;
  private static final String LEDGER = "orders";

  private final HttpCaller http;
  private final RuntimeClock clock;

  /**
   * Creates the bench.
   *
   * @param http the HTTP client
   * @param clock the runtime clock
   */
  public DemoBench(HttpCaller http, RuntimeClock clock) {
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
    Load load = load(settings, services);
    if (!load.awaitReady()) {
      System.err.println("demo: the proxies are not ready after " + START_LIMIT_MS + " ms");
      return 1;
    }
    load.start();
    writeReadyFile(settings.text(BenchSettings.READY_FILE));
    long runMs = settings.number(BenchSettings.SECONDS) * MS_PER_SECOND;
    load.progressForMs(runMs * CRASH_AT_PCT / PERCENT);
    Crash crash = crash(platform, load, services.getFirst());
    load.progressForMs(runMs - runMs * CRASH_AT_PCT / PERCENT);
    load.stop();
    return report(settings, platform, load, crash);
  }

  private record Crash(String service, String target, long atMs) {}

  private Crash crash(PlatformClient platform, Load load, String service) {
    String target =
        load.primaries
            .of(service)
            .orElseThrow(() -> new IllegalStateException("no write of " + service + " is done"));
    long atMs = clock.monotonicMs();
    platform.fault("crash", "{\"target\":\"" + target + "\"}");
    System.out.println("demo: crashed the primary " + target + " of " + service);
    return new Crash(service, target, atMs);
  }

  private int report(Settings settings, PlatformClient platform, Load load, Crash crash) {
    List<String> keys = new ArrayList<>();
    for (PlatformClient.Group group : platform.groups()) {
      platform.ledger(group.name(), LEDGER).forEach(row -> keys.add(row.key()));
    }
    Reconciliation result = Reconciliation.of(load.book.all(), keys);
    Optional<Long> resumedMs =
        load.book.firstAcknowledged(crash.service(), crash.target(), crash.atMs());
    Tally tally = load.tally;
    String gap = resumedMs.map(ms -> String.valueOf(ms - crash.atMs())).orElse("none");
    System.out.println(
        "demo: refusals=%d unknown_outcomes=%d"
            .formatted(
                tally.refusals(),
                load.book.all().stream().filter(o -> o.fate() == Order.Fate.UNKNOWN).count()));
    System.out.println(
        String.format(
            Locale.ROOT,
            "demo user=%s statements=%d replica_read_share_pct=%.1f failover_gap_ms=%s"
                + " write_p50_ms=%.1f write_p99_ms=%.1f read_p50_ms=%.1f read_p99_ms=%.1f"
                + " orders_acked=%d orders_lost=%d orders_doubled=%d stale_reads=%d"
                + " untrue_refusals=%d cut_off_requests=%d",
            settings.text(BenchSettings.USER),
            tally.statements(),
            tally.replicaReadSharePct(),
            gap,
            tally.writeMs(50),
            tally.writeMs(99),
            tally.readMs(50),
            tally.readMs(99),
            result.acknowledged(),
            result.lost(),
            result.doubled(),
            tally.staleReads(),
            result.untrueRefusals(),
            tally.cutOffRequests()));
    long wrong =
        result.lost()
            + result.doubled()
            + tally.staleReads()
            + result.untrueRefusals()
            + tally.cutOffRequests();
    return wrong == 0 && resumedMs.isPresent() && result.acknowledged() > 0 ? 0 : 1;
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

  private Load load(Settings settings, List<String> services) {
    Mix mix = settings.text(BenchSettings.USER).equals("hokuyo") ? BOARDS : ORDERS;
    CallerClient client = new CallerClient(http, clock, settings.number(BenchSettings.DELAY_MS));
    Load load = new Load(BenchSettings.list(settings, BenchSettings.PROXIES));
    Random seeds = new Random(settings.number(BenchSettings.SEED));
    for (String service : services) {
      for (int i = 0; i < settings.number(BenchSettings.CLERKS); i++) {
        load.clerks.add(
            new Clerk(
                service,
                mix,
                client,
                load.balancer,
                load.book,
                load.tally,
                load.primaries,
                clock,
                new Random(seeds.nextLong())));
      }
    }
    return load;
  }

  /** The clerks of one run and what they share. */
  private final class Load {
    private final OrderBook book = new OrderBook();
    private final Tally tally = new Tally();
    private final Primaries primaries = new Primaries();
    private final List<Clerk> clerks = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private final int proxies;
    private final Balancer balancer;
    private volatile boolean working = true;

    Load(List<String> addresses) {
      proxies = addresses.size();
      balancer = new Balancer(http, addresses);
    }

    boolean awaitReady() throws InterruptedException {
      long untilMs = clock.monotonicMs() + START_LIMIT_MS;
      while (clock.monotonicMs() < untilMs) {
        balancer.probe();
        if (balancer.size() == proxies) {
          return true;
        }
        clock.sleepMs(BALANCER_INTERVAL_MS);
      }
      return false;
    }

    void start() {
      threads.add(Thread.ofVirtual().start(this::balance));
      for (Clerk clerk : clerks) {
        threads.add(Thread.ofVirtual().start(() -> clerk.work(() -> working)));
      }
    }

    private void balance() {
      try {
        while (working) {
          balancer.probe();
          clock.sleepMs(BALANCER_INTERVAL_MS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    void progressForMs(long durationMs) throws InterruptedException {
      long untilMs = clock.monotonicMs() + durationMs;
      while (clock.monotonicMs() < untilMs) {
        clock.sleepMs(Math.min(PROGRESS_INTERVAL_MS, untilMs - clock.monotonicMs()));
        System.out.println(
            "demo: statements=%d refusals=%d ready_proxies=%d"
                .formatted(tally.statements(), tally.refusals(), balancer.size()));
      }
    }

    void stop() throws InterruptedException {
      working = false;
      for (Thread thread : threads) {
        thread.join();
      }
    }
  }
}
