package io.lycheejunction.bench.config;

import io.lycheejunction.bench.Bench;
import io.lycheejunction.bench.BenchSettings;
import io.lycheejunction.common.settings.Settings;
import java.net.UnknownHostException;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.Random;

/**
 * Measures how long a configuration change takes to be in force on all proxies, and the network
 * traffic that configuration and membership cause.
 */
public final class ConfigBench implements Bench {
  private static final int FULL_FLEET_PROXIES = 6;
  private static final int SMALL_CONTROL_FLEET_PROXIES = 20;
  private static final int LARGE_CONTROL_FLEET_PROXIES = 60;
  private static final int MAX_FAULT_ROUNDS = 2;

  /** The attempts of a proxy to write one row of the log, so that it gets no reply at all. */
  private static final int ATTEMPTS_PER_ROW = 4;

  private static final long IDLE_TRAFFIC_MS = 6_000;
  private static final long FULL_FLEET_MAX_IN_FORCE_MS = 5_000;

  private boolean passed = true;

  /** Creates the bench. */
  public ConfigBench() {}

  @Override
  public String name() {
    return "config";
  }

  @Override
  public int run(Settings settings) throws InterruptedException {
    int rounds = (int) settings.number(BenchSettings.ROUNDS);
    Random seedSource = new Random(settings.number(BenchSettings.SEED));
    try {
      try (ConfigFleet fleet = ConfigFleet.ofFullProxies(FULL_FLEET_PROXIES)) {
        measureFullFleet(fleet, rounds);
      }
      FleetFigures small;
      try (ConfigFleet fleet =
          ConfigFleet.controlPlaneOnly(SMALL_CONTROL_FLEET_PROXIES, seedSource)) {
        small = measureControlPlaneFleet(fleet, new Variants(fleet), rounds);
      }
      try (ConfigFleet fleet =
          ConfigFleet.controlPlaneOnly(LARGE_CONTROL_FLEET_PROXIES, seedSource)) {
        Variants variants = new Variants(fleet);
        Projection projection =
            new Projection(small, measureControlPlaneFleet(fleet, variants, rounds));
        measureNetworkCuts(fleet, variants, Math.min(rounds, MAX_FAULT_ROUNDS));
        runRaces(fleet);
        print("variant=projection " + projection.describe());
      }
    } catch (UnknownHostException e) {
      throw new IllegalStateException(
          "cannot resolve 127.0.0.1, the address of the stand-in platform", e);
    }
    print("checks=" + (passed ? "passed" : "failed"));
    return passed ? 0 : 1;
  }

  private static void print(String pairs) {
    System.out.println("config " + pairs);
  }

  /** Submits one change and returns the time until it is in force, or empty after the timeout. */
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
    passed &= samples.timedOut() == 0;
    print("proxies=%d variant=%s %s".formatted(fleet.nodes.size(), name, samples.describe()));
  }

  private void measureFullFleet(ConfigFleet fleet, int rounds) throws InterruptedException {
    Variants variants = new Variants(fleet);
    Samples samples = measure(fleet, "whole", rounds, variants::withoutFault);
    print(
        "proxies=%d target_ms=%d within_target=%s"
            .formatted(
                FULL_FLEET_PROXIES,
                FULL_FLEET_MAX_IN_FORCE_MS,
                samples.maxMs() <= FULL_FLEET_MAX_IN_FORCE_MS));
    int faultRounds = Math.min(rounds, MAX_FAULT_ROUNDS);
    measure(fleet, "whole_down_at_acceptance", faultRounds, variants::tableDownAtSubmission);
    measure(fleet, "whole_down_after_acceptance", faultRounds, variants::tableDownAfterAcceptance);
    measure(fleet, "whole_replies_lost", 1, () -> variants.repliesLost(ATTEMPTS_PER_ROW));
    measureNetworkCuts(fleet, variants, faultRounds);
    runRaces(fleet);
  }

  private void measureNetworkCuts(ConfigFleet fleet, Variants variants, int rounds)
      throws InterruptedException {
    measure(fleet, "domain_cut_from_platform", rounds, variants::domainCutFromPlatform);
    Samples afterHeal = new Samples();
    measure(fleet, "domain_cut_reachable", rounds, () -> variants.domainIsolated(afterHeal));
    report(fleet, "domain_cut_healed", afterHeal);
    passed &= variants.unexpectedOutcomes() == 0;
  }

  private void runRaces(ConfigFleet fleet) throws InterruptedException {
    Race race = new Race(fleet);
    print("proxies=%d variant=race %s".formatted(fleet.nodes.size(), race.run()));
    passed &= race.isCorrect();
  }

  private FleetFigures measureControlPlaneFleet(ConfigFleet fleet, Variants variants, int rounds)
      throws InterruptedException {
    Traffic.Totals before = fleet.traffic.totals();
    fleet.sleepMs(IDLE_TRAFFIC_MS);
    Traffic.Totals idle = fleet.traffic.totals().since(before);
    Samples withoutFault = measure(fleet, "light", rounds, variants::withoutFault);
    Samples tableDown =
        measure(fleet, "light_down_after_acceptance", 1, variants::tableDownAfterAcceptance);
    FleetFigures figures =
        new FleetFigures(fleet.nodes.size(), withoutFault.maxMs(), tableDown.maxMs(), idle);
    print(describeIdleTraffic(figures));
    return figures;
  }

  private static String describeIdleTraffic(FleetFigures figures) {
    return String.format(
        Locale.ROOT,
        "proxies=%d variant=idle_traffic seconds=%.1f table_reads_per_s=%.1f"
            + " table_writes_per_s=%.1f table_bytes_per_s_node=%.0f list_bytes_per_s_node=%.0f"
            + " peer_bytes_per_s_node=%.0f counted=bodies_and_headers_of_http",
        figures.proxies(),
        figures.idleTraffic().atNs() / 1e9,
        figures.tableReadsPerSecond(),
        figures.tableWritesPerSecond(),
        figures.tableBytesPerSecondPerNode(),
        figures.listBytesPerSecondPerNode(),
        figures.peerBytesPerSecondPerNode());
  }
}
