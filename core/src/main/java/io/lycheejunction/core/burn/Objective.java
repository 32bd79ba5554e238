package io.lycheejunction.core.burn;

/** The service-level objectives that every service has. */
public enum Objective {
  /** The share of requests that succeed; errors caused by the caller are not counted. */
  AVAILABILITY(0.9995),
  /** The share of successful requests that take at most {@link #LATENCY_MS}. */
  LATENCY(0.99),
  /** The share of single reads that are not refused because the age of the data is not proven. */
  AGE(0.999);

  /** The maximum latency of a request that counts as fast, in milliseconds. */
  public static final long LATENCY_MS = 250;

  private final double target;

  Objective(double target) {
    this.target = target;
  }

  /**
   * Returns the share of requests that must meet the objective.
   *
   * @return the share, between 0 and 1
   */
  public double target() {
    return target;
  }

  /**
   * Returns the number of requests that the objective covers.
   *
   * @param counts the counts
   * @return the number of requests
   */
  public long events(RequestCounts counts) {
    return switch (this) {
      case AVAILABILITY -> counts.done() + counts.failed();
      case LATENCY -> counts.done();
      case AGE -> counts.reads() + counts.stale();
    };
  }

  /**
   * Returns the number of covered requests that miss the objective.
   *
   * @param counts the counts
   * @return the number of requests
   */
  public long misses(RequestCounts counts) {
    return switch (this) {
      case AVAILABILITY -> counts.failed();
      case LATENCY -> counts.done() - counts.fast();
      case AGE -> counts.stale();
    };
  }
}
