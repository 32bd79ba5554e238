package io.lycheejunction.core.burn;

/** The objectives that each service has. */
public enum Objective {
  /** The share of requests that are done, without the callers' own faults. */
  AVAILABILITY(0.9995),
  /** The share of done requests that take at most {@link #LATENCY_MS}. */
  LATENCY(0.99),
  /** The share of single reads that are answered instead of refused for their age. */
  AGE(0.999);

  /** The time within which a request is fast, in milliseconds. */
  public static final long LATENCY_MS = 250;

  private final double target;

  Objective(double target) {
    this.target = target;
  }

  /**
   * Returns the share that must be good.
   *
   * @return the share, between 0 and 1
   */
  public double target() {
    return target;
  }

  /**
   * Returns the requests that the objective judges.
   *
   * @param tally the counts
   * @return the number of requests
   */
  public long events(Tally tally) {
    return switch (this) {
      case AVAILABILITY -> tally.done() + tally.failed();
      case LATENCY -> tally.done();
      case AGE -> tally.reads() + tally.stale();
    };
  }

  /**
   * Returns the judged requests that miss the objective.
   *
   * @param tally the counts
   * @return the number of requests
   */
  public long misses(Tally tally) {
    return switch (this) {
      case AVAILABILITY -> tally.failed();
      case LATENCY -> tally.done() - tally.fast();
      case AGE -> tally.stale();
    };
  }
}
