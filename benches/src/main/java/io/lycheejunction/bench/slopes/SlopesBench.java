package io.lycheejunction.bench.slopes;

import io.lycheejunction.bench.Bench;
import io.lycheejunction.bench.BenchSettings;
import io.lycheejunction.bench.load.Figures;
import io.lycheejunction.bench.load.Figures.Figure;
import io.lycheejunction.bench.load.LocalSite;
import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.standin.GroupSettings;
import io.lycheejunction.standin.StandinSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;

/**
 * Measures the cost of each role of a proxy at several sizes of its driver and fits a line to the
 * medians.
 */
public final class SlopesBench implements Bench {
  private static final int SLOTS = 8;
  private static final int CONNECTIONS = 16;

  private final BlockingHttpClient http;
  private final RuntimeClock clock;

  /**
   * Creates the bench.
   *
   * @param http the HTTP client
   * @param clock the runtime clock
   */
  public SlopesBench(BlockingHttpClient http, RuntimeClock clock) {
    this.http = Objects.requireNonNull(http, "http is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
  }

  @Override
  public String name() {
    return "slopes";
  }

  @Override
  public int run(Settings settings) throws InterruptedException {
    int rounds = (int) settings.number(BenchSettings.ROUNDS);
    Figures figures = new Figures(name());
    List<Slope> inProcess =
        List.of(
            new MembershipSlope(clock, new UnavailableStore()),
            new ConfigurationSlope(),
            new NodeSlope(clock));
    measure(inProcess, figures, rounds);
    List<Slope> overSockets = new ArrayList<>();
    try (LocalSite site = LocalSite.start(standinSettings(), 1, http, clock)) {
      overSockets.add(new ConnectionSlope(site, clock));
      measure(overSockets, figures, rounds);
    }
    figures.printSummary();
    inProcess.forEach(slope -> printFits(slope, figures));
    overSockets.forEach(slope -> printFits(slope, figures));
    return 0;
  }

  private static StandinSettings standinSettings() {
    GroupSettings group = new GroupSettings("g1", 1, SLOTS, CONNECTIONS, 0, 0, 0);
    return new StandinSettings("127.0.0.1", 0, 0, List.of("a"), 0, List.of(group));
  }

  private static void measure(List<Slope> slopes, Figures figures, int rounds)
      throws InterruptedException {
    for (int round = 0; round <= rounds; round++) {
      for (Slope slope : slopes) {
        measure(slope, figures, round);
      }
    }
  }

  /** Measures one round; round 0 is a warm-up whose figures are discarded. */
  private static void measure(Slope slope, Figures figures, int round) throws InterruptedException {
    for (int size : slope.sizes()) {
      List<Figure> measured = slope.measure(size);
      if (round > 0) {
        figures.add(variant(slope, size), round, measured);
      }
    }
  }

  private static String variant(Slope slope, int size) {
    return slope.name() + " size=" + size;
  }

  private static void printFits(Slope slope, Figures figures) {
    for (String figure : figures.names(variant(slope, slope.sizes().getFirst()))) {
      List<LinearFit.Point> points =
          slope.sizes().stream()
              .map(size -> new LinearFit.Point(size, figures.median(variant(slope, size), figure)))
              .toList();
      LinearFit fit = LinearFit.to(points);
      System.out.printf(
          Locale.ROOT,
          "slopes line %s figure=%s base=%.3f per_unit=%.4f%n",
          slope.name(),
          figure,
          fit.intercept(),
          fit.slope());
    }
  }
}
