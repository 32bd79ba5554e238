package io.lycheejunction.proxy.group;

import io.lycheejunction.common.settings.Setting;
import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.core.group.ProbeBudget;
import java.util.List;
import java.util.Objects;

/**
 * The settings of group monitoring and failover.
 *
 * @param ackLeaseMs the duration of the acknowledgement lease, in milliseconds
 * @param clockMarginMs the time that a claimant waits after the lease has expired, in milliseconds
 * @param probeTimeoutMs the timeout of a status request, in milliseconds
 * @param claimTimeoutMs the timeout of a fence or promotion request, in milliseconds
 * @param budget derives the interval between probes
 */
public record GroupSettings(
    long ackLeaseMs,
    long clockMarginMs,
    long probeTimeoutMs,
    long claimTimeoutMs,
    ProbeBudget budget) {
  /** The duration of the acknowledgement lease, in milliseconds. */
  public static final long ACK_LEASE_MS = 200;

  /** The time that a claimant waits after the lease has expired, in milliseconds. */
  public static final long CLOCK_MARGIN_MS = 20;

  /** The timeout of a status request, in milliseconds. */
  public static final long PROBE_TIMEOUT_MS = 250;

  /** The timeout of a fence or promotion request, in milliseconds. */
  public static final long CLAIM_TIMEOUT_MS = 400;

  private static final long FENCE_AND_PROMOTE_MS = 380;
  private static final String ACK_LEASE = "ack-lease-ms";
  private static final String CONTROL_BYTES = "control-bytes-per-second";
  private static final String PROBE_BYTES = "probe-bytes";

  /** The settings that operators may change; all proxies must have the same lease. */
  public static final List<Setting> ALL =
      List.of(
          Setting.number(
              ACK_LEASE,
              50,
              2_000,
              ACK_LEASE_MS,
              "duration of the acknowledgement lease, the same on all proxies"),
          Setting.number(
              CONTROL_BYTES,
              256,
              1_048_576,
              ProbeBudget.CONTROL_BYTES_PER_SECOND,
              "bytes a second for probes to other failure domains"),
          Setting.number(
              PROBE_BYTES,
              32,
              65_536,
              ProbeBudget.PROBE_BYTES,
              "bytes of one probe and its answer"));

  /** Rejects a null budget, a negative clock margin and other times below 1 ms. */
  public GroupSettings {
    Objects.requireNonNull(budget, "budget is null");
    if (ackLeaseMs < 1 || clockMarginMs < 0 || probeTimeoutMs < 1 || claimTimeoutMs < 1) {
      throw new IllegalArgumentException(
          "ackLeaseMs, probeTimeoutMs and claimTimeoutMs must be at least 1, "
              + "clockMarginMs at least 0");
    }
  }

  /**
   * Returns the default settings.
   *
   * @return the settings
   */
  public static GroupSettings standard() {
    return new GroupSettings(
        ACK_LEASE_MS, CLOCK_MARGIN_MS, PROBE_TIMEOUT_MS, CLAIM_TIMEOUT_MS, ProbeBudget.standard());
  }

  /**
   * Returns the settings from the parsed settings of the process.
   *
   * @param settings the parsed settings, which include {@link #ALL}
   * @return the settings
   */
  public static GroupSettings of(Settings settings) {
    ProbeBudget budget =
        new ProbeBudget(
            settings.number(CONTROL_BYTES),
            settings.number(PROBE_BYTES),
            ProbeBudget.MIN_INTERVAL_MS,
            ProbeBudget.MAX_INTERVAL_MS);
    return new GroupSettings(
        settings.number(ACK_LEASE), CLOCK_MARGIN_MS, PROBE_TIMEOUT_MS, CLAIM_TIMEOUT_MS, budget);
  }

  /**
   * Returns the time that a claim may take before another proxy starts the next one.
   *
   * @return the lease, the clock margin and the time to fence and promote together, in milliseconds
   */
  long maxClaimMs() {
    return ackLeaseMs + clockMarginMs + FENCE_AND_PROMOTE_MS;
  }

  /**
   * Returns the timeout of a confirming round, which leaves at least half of the lease afterwards.
   *
   * @return the timeout, in milliseconds
   */
  long roundTimeoutMs() {
    return Math.max(1, ackLeaseMs / 2);
  }
}
