package io.lycheejunction.bench.failover;

import java.util.Objects;

/**
 * The faults, durability and load of one round with a new group.
 *
 * @param fault the fault of the primary
 * @param lossPct the share of answers to probes that are lost, in percent
 * @param storeDown true if the platform's table store is unavailable during the round
 * @param durability the durability level of the service, {@code majority} or {@code primary}
 * @param load the load of the writers
 */
record Scenario(Fault fault, int lossPct, boolean storeDown, String durability, Load load) {

  /** The fault of the primary. */
  enum Fault {
    /** Its process stops. */
    CRASH,
    /** Its failure domain is partitioned from the others; its process keeps running. */
    CUT_OFF
  }

  /**
   * The load of the writers.
   *
   * @param writers the number of writers
   * @param thinkMs the longest random pause before a write, in milliseconds
   * @param baselineMs the duration of the measurement before the fault, in milliseconds
   */
  record Load(int writers, int thinkMs, long baselineMs) {}

  Scenario {
    Objects.requireNonNull(fault, "fault is null");
    Objects.requireNonNull(durability, "durability is null");
    Objects.requireNonNull(load, "load is null");
  }

  String format() {
    return "fault=%s probe_loss_pct=%d store=%s"
        .formatted(fault == Fault.CRASH ? "crash" : "cut-off", lossPct, storeDown ? "down" : "up");
  }
}
