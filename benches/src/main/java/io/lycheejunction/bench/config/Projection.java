package io.lycheejunction.bench.config;

import io.lycheejunction.proxy.configuration.ConfigurationLog;
import io.lycheejunction.proxy.membership.HeartbeatExchange;
import io.lycheejunction.proxy.membership.VmListPoller;
import java.util.Locale;
import java.util.function.IntToLongFunction;
import java.util.function.ToDoubleFunction;

/**
 * Extrapolates the measurements of two fleets to a larger fleet.
 *
 * <p>The time until a change is in force is the poll interval of the larger fleet plus the largest
 * time that a measured fleet took beyond its own poll interval. If only peers pass the change on,
 * the time grows with the logarithm of the number of proxies. The bytes per interval grow linearly
 * with the number of proxies; the intervals are those that proxies use in a fleet of that size.
 *
 * @param small the measurements of the smaller fleet
 * @param large the measurements of the larger fleet
 */
record Projection(FleetFigures small, FleetFigures large) {
  /** The number of proxies of the projected fleet. */
  static final int PROJECTED_PROXIES = 710;

  /** The longest time allowed from acceptance until a change is in force on all proxies. */
  static final long MAX_IN_FORCE_MS = 17_000;

  /** The most bytes per second allowed for one proxy. */
  static final double MAX_BYTES_PER_SECOND = 3_072;

  private double projectBytesPerSecond(
      ToDoubleFunction<FleetFigures> perSecond, IntToLongFunction intervalMs) {
    double smallBytes = perSecond.applyAsDouble(small) * intervalMs.applyAsLong(small.proxies());
    double largeBytes = perSecond.applyAsDouble(large) * intervalMs.applyAsLong(large.proxies());
    double slope = Math.max(0, (largeBytes - smallBytes) / (large.proxies() - small.proxies()));
    double projectedBytes = largeBytes + slope * (PROJECTED_PROXIES - large.proxies());
    return projectedBytes / intervalMs.applyAsLong(PROJECTED_PROXIES);
  }

  /** Returns the projected bytes per second between one proxy and the table. */
  double tableBytesPerSecond() {
    return projectBytesPerSecond(
        FleetFigures::tableBytesPerSecondPerNode, ConfigurationLog::pollIntervalMs);
  }

  /** Returns the projected bytes per second that the VM list costs one proxy. */
  double listBytesPerSecond() {
    return projectBytesPerSecond(
        FleetFigures::listBytesPerSecondPerNode, VmListPoller::pollIntervalMs);
  }

  /** Returns the projected bytes per second that one proxy exchanges with other proxies. */
  double peerBytesPerSecond() {
    return projectBytesPerSecond(
        FleetFigures::peerBytesPerSecondPerNode, HeartbeatExchange::intervalMs);
  }

  /** Returns the projected bytes per second of one proxy in total. */
  double nodeBytesPerSecond() {
    return tableBytesPerSecond() + listBytesPerSecond() + peerBytesPerSecond();
  }

  private static double beyondPollIntervalMs(FleetFigures fleet) {
    return Math.max(0, fleet.inForceMs() - ConfigurationLog.pollIntervalMs(fleet.proxies()));
  }

  /**
   * Returns the time from acceptance until a change is in force on all proxies if each proxy reads
   * it from the table at its next poll.
   */
  double inForceMs() {
    return ConfigurationLog.pollIntervalMs(PROJECTED_PROXIES)
        + Math.max(beyondPollIntervalMs(small), beyondPollIntervalMs(large));
  }

  /** Returns the same time by linear extrapolation of the times of both fleets. */
  double linearInForceMs() {
    double slope =
        Math.max(0, (double) (large.inForceMs() - small.inForceMs()))
            / (large.proxies() - small.proxies());
    return large.inForceMs() + slope * (PROJECTED_PROXIES - large.proxies());
  }

  /** Returns the same time while the table is down and only peers pass the change on. */
  double relayOnlyMs() {
    double slope =
        Math.max(0, (double) (large.relayOnlyMs() - small.relayOnlyMs()))
            / (Math.log(large.proxies()) - Math.log(small.proxies()));
    return large.relayOnlyMs() + slope * (Math.log(PROJECTED_PROXIES) - Math.log(large.proxies()));
  }

  /** Returns whether all projected times and the projected bytes are within the limits. */
  boolean isWithinLimits() {
    double worstMs = Math.max(relayOnlyMs(), Math.max(inForceMs(), linearInForceMs()));
    return worstMs <= MAX_IN_FORCE_MS && nodeBytesPerSecond() <= MAX_BYTES_PER_SECOND;
  }

  /** Returns the projection as key=value pairs for a line of output. */
  String describe() {
    return String.format(
        Locale.ROOT,
        "proxies=%d from=%d,%d in_force_ms=%.0f in_force_linear_ms=%.0f relay_only_ms=%.0f"
            + " target_ms=%d table_reads_per_s=%.0f table_bytes_per_s_node=%.0f"
            + " list_bytes_per_s_node=%.0f peer_bytes_per_s_node=%.0f bytes_per_s_node=%.0f"
            + " target_bytes_per_s_node=%.0f within_target=%s",
        PROJECTED_PROXIES,
        small.proxies(),
        large.proxies(),
        inForceMs(),
        linearInForceMs(),
        relayOnlyMs(),
        MAX_IN_FORCE_MS,
        PROJECTED_PROXIES * 1_000.0 / ConfigurationLog.pollIntervalMs(PROJECTED_PROXIES),
        tableBytesPerSecond(),
        listBytesPerSecond(),
        peerBytesPerSecond(),
        nodeBytesPerSecond(),
        MAX_BYTES_PER_SECOND,
        isWithinLimits());
  }
}
