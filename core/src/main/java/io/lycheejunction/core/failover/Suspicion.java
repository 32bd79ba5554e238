package io.lycheejunction.core.failover;

/**
 * What the answers of one instance so far say about whether it is gone.
 *
 * <p>A refused connection counts at once. Silence counts after a bound that adapts to the intervals
 * between answers, and only while a request has been waiting for its answer, so that an instance
 * that nobody asked is not suspected.
 *
 * @param lastAnswerMs the monotonic time of the last answer, in milliseconds
 * @param meanIntervalMs the smoothed interval between answers, in milliseconds
 * @param deviationMs the smoothed deviation of that interval, in milliseconds
 * @param refused true if a connection was refused since the last answer
 * @param askedMs the monotonic time of the first request since the last answer, in milliseconds, or
 *     {@code NOT_ASKED}
 */
public record Suspicion(
    long lastAnswerMs, double meanIntervalMs, double deviationMs, boolean refused, long askedMs) {
  /** Stands for the time of a request when there was none. */
  public static final long NOT_ASKED = Long.MIN_VALUE;

  /** The shortest silence that counts, in milliseconds. */
  public static final long MIN_SILENCE_MS = 300;

  /** The longest silence that does not count, in milliseconds. */
  public static final long MAX_SILENCE_MS = 1_500;

  /** The time that a request must have waited before silence counts, in milliseconds. */
  public static final long MIN_WAIT_MS = 200;

  private static final double SMOOTHING = 0.125;
  private static final double DEVIATIONS = 4;
  private static final long LONGEST_INTERVAL_MS = 2_000;
  private static final long LATE_MS = 50;

  /**
   * Returns the state of an instance that has not answered yet.
   *
   * @param nowMs the monotonic time from which silence counts, in milliseconds
   * @return the state
   */
  public static Suspicion unseen(long nowMs) {
    return new Suspicion(nowMs, 0, 0, false, NOT_ASKED);
  }

  /**
   * Returns the state after a request was sent.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @return the new state
   */
  public Suspicion asked(long nowMs) {
    return askedMs == NOT_ASKED
        ? new Suspicion(lastAnswerMs, meanIntervalMs, deviationMs, refused, nowMs)
        : this;
  }

  /**
   * Returns the state after an answer.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @return the new state
   */
  public Suspicion answered(long nowMs) {
    double intervalMs = Math.clamp(nowMs - lastAnswerMs, 0, LONGEST_INTERVAL_MS);
    double errorMs = intervalMs - meanIntervalMs;
    return new Suspicion(
        Math.max(nowMs, lastAnswerMs),
        meanIntervalMs + SMOOTHING * errorMs,
        deviationMs + SMOOTHING * (Math.abs(errorMs) - deviationMs),
        false,
        NOT_ASKED);
  }

  /**
   * Returns the state after a refused connection.
   *
   * @param sentMs the monotonic time at which the connection was tried, in milliseconds
   * @return the new state; the same if an answer has come since
   */
  public Suspicion refusedAt(long sentMs) {
    return sentMs < lastAnswerMs
        ? this
        : new Suspicion(lastAnswerMs, meanIntervalMs, deviationMs, true, askedMs);
  }

  /**
   * Returns the silence that counts.
   *
   * @return the bound, in milliseconds
   */
  public long boundMs() {
    double adaptiveMs = meanIntervalMs + DEVIATIONS * deviationMs;
    return Math.clamp((long) adaptiveMs, MIN_SILENCE_MS, MAX_SILENCE_MS);
  }

  /**
   * Returns whether the instance counts as gone.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @return true if so
   */
  public boolean isGone(long nowMs) {
    return refused || (waitedMs(nowMs) >= MIN_WAIT_MS && silentMs(nowMs) >= boundMs());
  }

  /**
   * Returns whether an answer is overdue, so that the instance should be probed more often.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @return true if so
   */
  public boolean isDoubtful(long nowMs) {
    return refused || waitedMs(nowMs) >= LATE_MS;
  }

  /**
   * Returns the time since the last answer.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @return the time, in milliseconds
   */
  public long silentMs(long nowMs) {
    return nowMs - lastAnswerMs;
  }

  private long waitedMs(long nowMs) {
    return askedMs == NOT_ASKED ? 0 : nowMs - askedMs;
  }
}
