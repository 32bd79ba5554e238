package io.lycheejunction.core.admission;

/**
 * A moving average of the time that a request keeps its permit.
 *
 * @param averageMs the average in milliseconds; 0 before the first sample
 */
record ServiceTime(double averageMs) {
  private static final double NEWEST_SHARE = 0.1;

  static ServiceTime none() {
    return new ServiceTime(0);
  }

  ServiceTime with(long sampleMs) {
    if (averageMs == 0) {
      return new ServiceTime(sampleMs);
    }
    return new ServiceTime(averageMs + NEWEST_SHARE * (sampleMs - averageMs));
  }

  /** Returns the expected wait behind the given number of requests, in milliseconds. */
  long waitMs(long ahead, int slots) {
    return (long) Math.ceil(averageMs * ahead / Math.max(1, slots));
  }
}
