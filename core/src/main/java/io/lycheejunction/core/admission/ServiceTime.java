package io.lycheejunction.core.admission;

/**
 * An exponential moving average of the time that a request holds its permit.
 *
 * @param averageMs the average, in milliseconds; 0 before the first sample
 */
record ServiceTime(double averageMs) {
  private static final double SMOOTHING_FACTOR = 0.1;

  static ServiceTime none() {
    return new ServiceTime(0);
  }

  ServiceTime withSample(long sampleMs) {
    if (averageMs == 0) {
      return new ServiceTime(sampleMs);
    }
    return new ServiceTime(averageMs + SMOOTHING_FACTOR * (sampleMs - averageMs));
  }

  /** Returns the expected time to serve the requests ahead in the queue, in milliseconds. */
  long waitMs(long requestsAhead, int slots) {
    return (long) Math.ceil(averageMs * requestsAhead / Math.max(1, slots));
  }
}
