package io.lycheejunction.bench.config;

import io.lycheejunction.proxy.configuration.ConfigurationLog;
import io.lycheejunction.proxy.membership.Heartbeats;
import io.lycheejunction.proxy.membership.VmListPoll;
import java.util.Locale;
import java.util.function.IntToLongFunction;
import java.util.function.ToDoubleFunction;

/**
 * Carries the figures of two fleets on to a larger one.
 *
 * <p>The time of a change is the larger fleet's poll interval with the largest measured excess over
 * an interval; by relay it grows with the logarithm of the number of proxies. The bytes of one
 * period grow by the measured slope; the periods are those that the proxies would use.
 *
 * @param small the smaller fleet
 * @param large the larger fleet
 */
record Projection(FleetFigures small, FleetFigures large) {
  /** The number of proxies that is projected to. */
  static final int PROXIES = 710;

  /** The longest time from accepted to in force everywhere, in milliseconds. */
  static final long TARGET_MS = 17_000;

  /** The most bytes a second of one proxy. */
  static final double TARGET_BYTES_PER_SECOND = 3_072;

  private double bytes(ToDoubleFunction<FleetFigures> perSecond, IntToLongFunction intervalMs) {
    double low = perSecond.applyAsDouble(small) * intervalMs.applyAsLong(small.proxies());
    double high = perSecond.applyAsDouble(large) * intervalMs.applyAsLong(large.proxies());
    double slope = Math.max(0, (high - low) / (large.proxies() - small.proxies()));
    double projected = high + slope * (PROXIES - large.proxies());
    return projected / intervalMs.applyAsLong(PROXIES);
  }

  /** Returns the bytes a second of one proxy with the table. */
  double tableBytes() {
    return bytes(FleetFigures::tableBytesPerNode, ConfigurationLog::pollIntervalMs);
  }

  /** Returns the bytes a second of one proxy with the list of VMs. */
  double listBytes() {
    return bytes(FleetFigures::listBytesPerNode, VmListPoll::pollIntervalMs);
  }

  /** Returns the bytes a second of one proxy with others, sent and received. */
  double peerBytes() {
    return bytes(FleetFigures::peerBytesPerNode, Heartbeats::intervalMs);
  }

  /** Returns the bytes a second of one proxy. */
  double nodeBytes() {
    return tableBytes() + listBytes() + peerBytes();
  }

  private static double excessMs(FleetFigures fleet) {
    return Math.max(0, fleet.plainMs() - ConfigurationLog.pollIntervalMs(fleet.proxies()));
  }

  /** Returns the time from accepted to in force everywhere, in milliseconds. */
  double plainMs() {
    return ConfigurationLog.pollIntervalMs(PROXIES) + Math.max(excessMs(small), excessMs(large));
  }

  /** Returns the same by the straight line through the two fleets' times, in milliseconds. */
  double linearMs() {
    double slope =
        Math.max(0, (double) (large.plainMs() - small.plainMs()))
            / (large.proxies() - small.proxies());
    return large.plainMs() + slope * (PROXIES - large.proxies());
  }

  /** Returns the time by relay only, in milliseconds. */
  double relayMs() {
    double slope =
        Math.max(0, (double) (large.relayMs() - small.relayMs()))
            / (Math.log(large.proxies()) - Math.log(small.proxies()));
    return large.relayMs() + slope * (Math.log(PROXIES) - Math.log(large.proxies()));
  }

  /** Returns whether the projection is within the targets. */
  boolean isWithinTarget() {
    double worstMs = Math.max(relayMs(), Math.max(plainMs(), linearMs()));
    return worstMs <= TARGET_MS && nodeBytes() <= TARGET_BYTES_PER_SECOND;
  }

  /** Returns the pairs of a line of output. */
  String describe() {
    return String.format(
        Locale.ROOT,
        "proxies=%d from=%d,%d in_force_ms=%.0f in_force_linear_ms=%.0f relay_only_ms=%.0f"
            + " target_ms=%d table_reads_per_s=%.0f table_bytes_per_s_node=%.0f"
            + " list_bytes_per_s_node=%.0f peer_bytes_per_s_node=%.0f bytes_per_s_node=%.0f"
            + " target_bytes_per_s_node=%.0f within_target=%s",
        PROXIES,
        small.proxies(),
        large.proxies(),
        plainMs(),
        linearMs(),
        relayMs(),
        TARGET_MS,
        PROXIES * 1_000.0 / ConfigurationLog.pollIntervalMs(PROXIES),
        tableBytes(),
        listBytes(),
        peerBytes(),
        nodeBytes(),
        TARGET_BYTES_PER_SECOND,
        isWithinTarget());
  }
}
