package io.lycheejunction.gateway.pace;

/**
 * The limit on the statements that one VM has in progress at one target.
 *
 * <p>It doubles with each round of answers until the first sign of overload. From then on it grows
 * by one in {@value #ANSWERS_PER_STEP} answers or more. A round is as many answers as the limit.
 *
 * @param value the limit, at least 1; its fraction counts towards the next step
 * @param threshold the limit up to which it doubles
 * @param reductions the number of reductions, which tells statements that were sent before the last
 *     one from later ones
 * @param answers the number of answers in this round
 * @param peak the highest number of statements in progress in this round
 */
record ConcurrencyLimit(double value, double threshold, int reductions, int answers, int peak) {
  /** The limit of a target that was found, promoted or reached again just now. */
  static final double START = 1;

  /** The limit of a target that was registered before this process started. */
  static final double START_IF_REGISTERED_BEFORE = 2;

  /**
   * With a limit near 1, growth by one in each round would meet a refusal in every second round.
   */
  static final int ANSWERS_PER_STEP = 16;

  private static final double REFUSAL_FACTOR = 0.5;
  private static final double LATENCY_FACTOR = 0.75;

  /** Returns a limit that doubles until the first sign of overload. */
  static ConcurrencyLimit startingAt(double start) {
    return new ConcurrencyLimit(start, Double.POSITIVE_INFINITY, 0, 0, 0);
  }

  /** Returns the number of statements that may be in progress. */
  int statements() {
    return (int) Math.min(value, Integer.MAX_VALUE);
  }

  /** Returns whether a sign of overload was seen, so that the limit does not double any more. */
  boolean isReduced() {
    return threshold < Double.POSITIVE_INFINITY;
  }

  /** Returns the limit after the target has started, was promoted or is reachable again. */
  ConcurrencyLimit restarted() {
    return new ConcurrencyLimit(
        Math.min(value, START), Double.POSITIVE_INFINITY, reductions + 1, 0, 0);
  }

  /**
   * Returns the limit after an answer.
   *
   * @param level the latency of this kind of statement
   * @param sent the statement that was answered
   * @param slots the number of statements that the target runs in parallel; up to this the limit
   *     grows even if it is not used, so that it is there when load rises
   */
  ConcurrencyLimit afterAnswer(LatencyLevel level, SentStatement sent, int slots) {
    if (sent.reductions() != reductions) {
      return this;
    }
    return switch (level) {
      case HIGH -> sent.inProgress() > 1 ? afterHighLatency(sent, slots) : this;
      case RAISED -> this;
      case NORMAL -> grown(Math.max(peak, sent.inProgress()), slots);
    };
  }

  /** Returns the limit after a refusal; refusals of statements sent before the last don't count. */
  ConcurrencyLimit afterRefusal(SentStatement sent) {
    return sent.reductions() == reductions ? reduced(REFUSAL_FACTOR) : this;
  }

  /** Writes may wait for locks and replicas, so their latency alone leaves the slots in use. */
  private ConcurrencyLimit afterHighLatency(SentStatement sent, int slots) {
    int lowest = sent.kind().mayWait() ? slots : 1;
    return value * LATENCY_FACTOR < lowest && lowest > 1 ? this : reduced(LATENCY_FACTOR);
  }

  private ConcurrencyLimit reduced(double factor) {
    double lower = Math.max(1, value * factor);
    return new ConcurrencyLimit(lower, lower, reductions + 1, 0, 0);
  }

  private ConcurrencyLimit grown(int newPeak, int slots) {
    boolean used = value < slots || newPeak >= statements();
    if (value >= threshold) {
      double step = used ? 1 / Math.max(value, ANSWERS_PER_STEP) : 0;
      return new ConcurrencyLimit(value + step, threshold, reductions, 0, 0);
    }
    if (answers + 1 < statements()) {
      return new ConcurrencyLimit(value, threshold, reductions, answers + 1, newPeak);
    }
    double next = used ? Math.min(value * 2, threshold) : value;
    return new ConcurrencyLimit(next, threshold, reductions, 0, 0);
  }
}
