package io.lycheejunction.gateway.quota;

/** A token bucket with fractional tokens. */
final class TokenBucket {
  private static final double MS_PER_S = 1_000;

  private double ratePerS;
  private double capacity;
  private double level;
  private long updatedMs;

  TokenBucket(double ratePerS, double capacity, double level, long nowMs) {
    this.ratePerS = ratePerS;
    this.capacity = capacity;
    this.level = Math.min(level, capacity);
    this.updatedMs = nowMs;
  }

  double ratePerS() {
    return ratePerS;
  }

  double level(long nowMs) {
    if (nowMs > updatedMs) {
      level = Math.min(capacity, level + ratePerS * (nowMs - updatedMs) / MS_PER_S);
      updatedMs = nowMs;
    }
    return level;
  }

  /** Removes up to {@code tokens} and returns how many were removed. */
  double take(double tokens, long nowMs) {
    double taken = Math.max(0, Math.min(tokens, level(nowMs)));
    level -= taken;
    return taken;
  }

  /** Adds tokens up to the capacity and returns how many did not fit. */
  double put(double tokens, long nowMs) {
    double added = Math.min(tokens, capacity - level(nowMs));
    level += added;
    return tokens - added;
  }

  /** Changes rate and capacity; tokens above the new capacity are dropped. */
  void change(double newRatePerS, double newCapacity, long nowMs) {
    level(nowMs);
    ratePerS = newRatePerS;
    capacity = newCapacity;
    level = Math.min(level, capacity);
  }

  /** Replaces the tokens. */
  void reset(double tokens, long nowMs) {
    level = Math.min(tokens, capacity);
    updatedMs = nowMs;
  }
}
