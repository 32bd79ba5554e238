package io.lycheejunction.gateway.quota;

/** The rate of recent events, weighted exponentially by their age. */
final class DemandMeter {
  private static final double DECAY_MS = 1_000;

  private double weight;
  private long updatedMs;

  DemandMeter(long nowMs) {
    this.updatedMs = nowMs;
  }

  void record(long nowMs) {
    weight = perS(nowMs) + 1;
  }

  /** Returns the rate, in events per second. */
  double perS(long nowMs) {
    if (nowMs > updatedMs) {
      weight *= Math.exp(-(nowMs - updatedMs) / DECAY_MS);
      updatedMs = nowMs;
    }
    return weight;
  }
}
