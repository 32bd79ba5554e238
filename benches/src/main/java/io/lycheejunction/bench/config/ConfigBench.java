package io.lycheejunction.bench.config;

import io.lycheejunction.bench.Bench;
import io.lycheejunction.bench.BenchSettings;
import io.lycheejunction.common.settings.Settings;
import java.net.UnknownHostException;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.Random;

/** Measures how long a change takes to be in force on all proxies, and the traffic of it. */
public final class ConfigBench implements Bench {
  private static final int WHOLE_PROXIES = 6;
  private static final int SMALL_PROXIES = 20;
  private static final int LARGE_PROXIES = 60;
  private static final int MAX_FAULT_ROUNDS = 2;
  private static final int ALL_TRIES = 4;
  private static final long IDLE_MS = 6_000;
  private static final long TARGET_SMALL_MS = 5_000;

  private boolean right = true;

  /** Creates the bench. */
  public ConfigBench() {}

  @Override
  public String name() {
    return "config";
  }

  @Override
  public int run(Settings settings) throws InterruptedException {
    int rounds = (int) settings.number(BenchSettings.ROUNDS);
    Random seeds = new Random(settings.number(BenchSettings.SEED));
    try {
      try (ConfigFleet fleet = ConfigFleet.whole(WHOLE_PROXIES)) {
        whole(fleet, rounds);
      }
      FleetFigures small;
      try (ConfigFleet fleet = ConfigFleet.light(SMALL_PROXIES, seeds)) {
        small = figures(fleet, new Variants(fleet), rounds);
      }
      try (ConfigFleet fleet = ConfigFleet.light(LARGE_PROXIES, seeds)) {
        Variants variants = new Variants(fleet);
        Projection projection = new Projection(small, figures(fleet, variants, rounds));
        cuts(fleet, variants, Math.min(rounds, MAX_FAULT_ROUNDS));
        race(fleet);
        print("variant=projection " + projection.describe());
      }
    } catch (UnknownHostException e) {
      throw new IllegalStateException("no loopback address", e);
    }
    print("checks=" + (right ? "passed" : "failed"));
    return right ? 0 : 1;
  }

  private static void print(String pairs) {
    System.out.println("config " + pairs);
  }

  /** One way of bringing a change in force. */
  private interface Variant {
    OptionalLong run() throws InterruptedException;
  }

  private Samples measure(ConfigFleet fleet, String name, int rounds, Variant variant)
      throws InterruptedException {
    Samples samples = new Samples();
    for (int i = 0; i < rounds; i++) {
      samples.add(variant.run());
    }
    report(fleet, name, samples);
    return samples;
  }

  private void report(ConfigFleet fleet, String name, Samples samples) {
    right &= samples.missed() == 0;
    print("proxies=%d variant=%s %s".formatted(fleet.nodes.size(), name, samples.describe()));
  }

  private void whole(ConfigFleet fleet, int rounds) throws InterruptedException {
    Variants variants = new Variants(fleet);
    Samples plain = measure(fleet, "whole", rounds, variants::plain);
    print(
        "proxies=%d target_ms=%d within_target=%s"
            .formatted(WHOLE_PROXIES, TARGET_SMALL_MS, plain.maxMs() <= TARGET_SMALL_MS));
    int faultRounds = Math.min(rounds, MAX_FAULT_ROUNDS);
    measure(fleet, "whole_down_at_acceptance", faultRounds, variants::downAtAcceptance);
    measure(fleet, "whole_down_after_acceptance", faultRounds, variants::downAfterAcceptance);
    measure(fleet, "whole_replies_lost", 1, () -> variants.repliesLost(ALL_TRIES));
    cuts(fleet, variants, faultRounds);
    race(fleet);
  }

  private void cuts(ConfigFleet fleet, Variants variants, int rounds) throws InterruptedException {
    measure(fleet, "domain_cut_from_platform", rounds, variants::domainCutFromPlatform);
    Samples healed = new Samples();
    measure(fleet, "domain_cut_reachable", rounds, () -> variants.domainCut(healed));
    report(fleet, "domain_cut_healed", healed);
    right &= variants.unsettled() == 0;
  }

  private void race(ConfigFleet fleet) throws InterruptedException {
    Race race = new Race(fleet);
    print("proxies=%d variant=race %s".formatted(fleet.nodes.size(), race.run()));
    right &= race.isRight();
  }

  private FleetFigures figures(ConfigFleet fleet, Variants variants, int rounds)
      throws InterruptedException {
    Traffic.Totals before = fleet.traffic.totals();
    fleet.sleepMs(IDLE_MS);
    Traffic.Totals idle = fleet.traffic.totals().since(before);
    Samples plain = measure(fleet, "light", rounds, variants::plain);
    Samples relay = measure(fleet, "light_down_after_acceptance", 1, variants::downAfterAcceptance);
    FleetFigures figures = new FleetFigures(fleet.nodes.size(), plain.maxMs(), relay.maxMs(), idle);
    print(traffic(figures));
    return figures;
  }

  private static String traffic(FleetFigures figures) {
    return String.format(
        Locale.ROOT,
        "proxies=%d variant=idle_traffic seconds=%.1f table_reads_per_s=%.1f"
            + " table_writes_per_s=%.1f table_bytes_per_s_node=%.0f list_bytes_per_s_node=%.0f"
            + " peer_bytes_per_s_node=%.0f counted=bodies_and_headers_of_http",
        figures.proxies(),
        figures.idle().atNs() / 1e9,
        figures.tableReadsPerSecond(),
        figures.tableWritesPerSecond(),
        figures.tableBytesPerNode(),
        figures.listBytesPerNode(),
        figures.peerBytesPerNode());
  }
}
