package io.lycheejunction.bench.slopes;

import io.lycheejunction.bench.Bench;
import io.lycheejunction.bench.BenchSettings;
import io.lycheejunction.bench.load.Figures;
import io.lycheejunction.bench.load.Figures.Figure;
import io.lycheejunction.bench.load.LocalSite;
import io.lycheejunction.common.http.HttpCaller;
import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.standin.GroupSettings;
import io.lycheejunction.standin.StandinSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;

/** Measures what each role takes as its driver grows, and fits a line through the sizes. */
public final class SlopesBench implements Bench {
  private static final int SLOTS = 8;
  private static final int CONNECTIONS = 16;

  private final HttpCaller http;
  private final RuntimeClock clock;

  /**
   * Creates the bench.
   *
   * @param http the HTTP client
   * @param clock the runtime clock
   */
  public SlopesBench(HttpCaller http, RuntimeClock clock) {
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
    List<Slope> alone =
        List.of(
            new MembershipSlope(clock, new NoStore()),
            new ConfigurationSlope(),
            new NodeSlope(clock));
    measure(alone, figures, rounds);
    List<Slope> served = new ArrayList<>();
    try (LocalSite site = LocalSite.start(standin(), 1, http, clock)) {
      served.add(new ConnectionSlope(site, clock));
      measure(served, figures, rounds);
    }
    figures.printSummary();
    alone.forEach(slope -> printLines(slope, figures));
    served.forEach(slope -> printLines(slope, figures));
    return 0;
  }

  private static StandinSettings standin() {
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

  /** Round 0 only warms up. */
  private static void measure(Slope slope, Figures figures, int round) throws InterruptedException {
    for (int size : slope.sizes()) {
      List<Figure> found = slope.measure(size);
      if (round > 0) {
        figures.add(variant(slope, size), round, found);
      }
    }
  }

  private static String variant(Slope slope, int size) {
    return slope.name() + " size=" + size;
  }

  private static void printLines(Slope slope, Figures figures) {
    for (String figure : figures.names(variant(slope, slope.sizes().getFirst()))) {
      List<Line.Point> points =
          slope.sizes().stream()
              .map(size -> new Line.Point(size, figures.median(variant(slope, size), figure)))
              .toList();
      Line line = Line.through(points);
      System.out.printf(
          Locale.ROOT,
          "slopes line %s figure=%s base=%.3f per_unit=%.4f%n",
          slope.name(),
          figure,
          line.base(),
          line.perUnit());
    }
  }
}
