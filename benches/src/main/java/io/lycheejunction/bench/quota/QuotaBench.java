package io.lycheejunction.bench.quota;

import io.lycheejunction.bench.Bench;
import io.lycheejunction.bench.BenchSettings;
import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.gateway.organisation.Quota;
import java.util.List;
import java.util.Locale;

/**
 * Simulates quotas over 6 to 300 VMs and prints, for each demand, the share of the allowed
 * operations that ran, the worst window as a share of the allowance, and the messages about tokens.
 */
public final class QuotaBench implements Bench {
  private static final List<Integer> VMS = List.of(6, 17, 61, 101, 300);
  private static final List<Integer> HOLDERS = List.of(6, 12);
  private static final List<Double> MULTIPLES = List.of(0.625, 1.5, 5.0);
  private static final double MIN_SHARE = 0.98;
  private static final double MS_PER_S = 1_000;

  /** Creates the bench. */
  public QuotaBench() {}

  @Override
  public String name() {
    return "quota";
  }

  @Override
  public int run(Settings settings) {
    EventLog.setSink((level, logger, event, fields) -> {});
    long durationMs = settings.number(BenchSettings.SECONDS) * (long) MS_PER_S;
    long seed = settings.number(BenchSettings.SEED);
    boolean met = true;
    for (int vms : VMS) {
      for (int holders : HOLDERS) {
        for (QuotaFleet.Demand demand : QuotaFleet.Demand.values()) {
          for (double multiple : MULTIPLES) {
            if (holders <= vms) {
              met &= measure(vms, holders, demand, multiple, durationMs, seed);
            }
          }
        }
      }
    }
    return met ? 0 : 1;
  }

  private static List<OrganisationLoad> loads() {
    return List.of(
        new OrganisationLoad("small", new Quota(2, 4)),
        new OrganisationLoad("medium", new Quota(14, 20)),
        new OrganisationLoad("large", new Quota(60, 60)),
        new OrganisationLoad("largest", new Quota(200, 300)));
  }

  private static boolean measure(
      int vms, int holders, QuotaFleet.Demand demand, double multiple, long durationMs, long seed) {
    List<OrganisationLoad> loads = loads();
    QuotaFleet fleet = new QuotaFleet(vms, holders, loads, seed);
    fleet.run(durationMs, multiple, demand);
    int started = loads.stream().mapToInt(OrganisationLoad::started).sum();
    int ideal = loads.stream().mapToInt(OrganisationLoad::ideallyStarted).sum();
    double lowestShare = 1;
    double worstWindow = 0;
    for (OrganisationLoad load : loads) {
      lowestShare = Math.min(lowestShare, load.started() / (double) load.ideallyStarted());
      worstWindow = Math.max(worstWindow, load.worstWindowShare(QuotaFleet.ALLOWANCE));
    }
    double messages = fleet.quotaMessages() * MS_PER_S / durationMs;
    System.out.printf(
        Locale.ROOT,
        "quota vms=%d holders=%d demand=%s multiple=%.3f ran_share=%.3f lowest_share=%.3f"
            + " worst_window_share=%.3f messages_per_s_vm=%.2f messages_per_s_holder=%.2f%n",
        vms,
        holders,
        demand.name().toLowerCase(Locale.ROOT),
        multiple,
        started / (double) ideal,
        lowestShare,
        worstWindow,
        messages / vms,
        messages / holders);
    return started >= MIN_SHARE * ideal && worstWindow <= 1;
  }
}
