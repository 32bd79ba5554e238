package io.lycheejunction.bench.failover;

import java.util.Objects;

/**
 * What one round does to a new group.
 *
 * @param fault what strikes the primary
 * @param lossPct the share of lost answers to probes, in percent
 * @param storeDown true if the platform's table is down meanwhile
 * @param durability the acknowledgement that the service asks for
 * @param load the load of the writers
 */
record Scenario(Fault fault, int lossPct, boolean storeDown, String durability, Load load) {

  /** What strikes the primary. */
  enum Fault {
    /** Its process ends. */
    CRASH,
    /** Its failure domain is cut off from the others; the process goes on. */
    CUT_OFF
  }

  /**
   * The load of the writers.
   *
   * @param writers the number of writers
   * @param thinkMs the longest pause of a writer, in milliseconds
   * @param beforeMs the measured time before the fault, in milliseconds
   */
  record Load(int writers, int thinkMs, long beforeMs) {}

  Scenario {
    Objects.requireNonNull(fault, "fault is null");
    Objects.requireNonNull(durability, "durability is null");
    Objects.requireNonNull(load, "load is null");
  }

  String line() {
    return "fault=%s probe_loss_pct=%d store=%s"
        .formatted(fault == Fault.CRASH ? "crash" : "cut-off", lossPct, storeDown ? "down" : "up");
  }
}
