package io.lycheejunction.bench;

import io.lycheejunction.bench.config.ConfigBench;
import io.lycheejunction.bench.demo.DemoBench;
import io.lycheejunction.bench.demo.PlanBench;
import io.lycheejunction.bench.failover.DurabilityBench;
import io.lycheejunction.bench.failover.FailoverBench;
import io.lycheejunction.bench.failover.FalsePromotionsBench;
import io.lycheejunction.bench.failover.SuspicionBench;
import io.lycheejunction.bench.overhead.OverheadBench;
import io.lycheejunction.bench.overload.OverloadBench;
import io.lycheejunction.bench.quota.QuotaBench;
import io.lycheejunction.bench.slopes.SlopesBench;
import io.lycheejunction.common.clock.SystemRuntimeClock;
import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.settings.Program;
import io.lycheejunction.common.settings.Settings;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** Entry point of the {@code lycheejunction-bench} program. */
public final class BenchMain {
  private static final int EXIT_INTERRUPTED = 1;
  private static final BlockingHttpClient HTTP = BlockingHttpClient.plain(Optional.empty());
  private static final List<Bench> BENCHES =
      List.of(
          new PlanBench(HTTP),
          new DemoBench(HTTP, new SystemRuntimeClock()),
          new OverheadBench(HTTP, new SystemRuntimeClock()),
          new ConfigBench(),
          new FailoverBench(HTTP, new SystemRuntimeClock()),
          new DurabilityBench(HTTP, new SystemRuntimeClock()),
          new FalsePromotionsBench(),
          new SuspicionBench(),
          new OverloadBench(HTTP, new SystemRuntimeClock()),
          new QuotaBench(),
          new SlopesBench(HTTP, new SystemRuntimeClock()));
  private static final Program PROGRAM =
      new Program("lycheejunction-bench", "[flags] " + names("|"), BenchSettings.ALL);

  private BenchMain() {}

  /**
   * Runs the bench that the first argument names and exits with its exit code.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) {
    System.exit(PROGRAM.run(args, System.getenv(), System.out, System.err, BenchMain::run));
  }

  private static int run(Settings settings) {
    String name = settings.arguments().isEmpty() ? "" : settings.arguments().getFirst();
    Optional<Bench> bench = BENCHES.stream().filter(b -> b.name().equals(name)).findFirst();
    if (bench.isEmpty()) {
      System.err.println("lycheejunction-bench: the first argument must be one of " + names(", "));
      return Program.EXIT_BAD_SETTINGS;
    }
    try {
      return bench.get().run(settings);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_INTERRUPTED;
    }
  }

  private static String names(String separator) {
    return BENCHES.stream().map(Bench::name).collect(Collectors.joining(separator));
  }
}
