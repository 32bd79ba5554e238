package io.lycheejunction.core.failover;

/**
 * The state of an adaptive failure detector for one instance; immutable.
 *
 * <p>After a refused connection the instance counts as gone at once. After silence it counts as
 * gone once a timeout has passed that adapts to the intervals between answers, and only while a
 * request is waiting for its answer, so that an instance without requests is not suspected.
 *
 * @param lastAnswerMs the monotonic time of the last answer, in milliseconds
 * @param meanIntervalMs the smoothed interval between answers, in milliseconds
 * @param deviationMs the smoothed deviation of that interval, in milliseconds
 * @param refused true if a connection was refused since the last answer
 * @param pendingSinceMs the monotonic time of the first request since the last answer, in
 *     milliseconds, or {@code NO_PENDING_REQUEST}
 */
public record FailureDetector(
    long lastAnswerMs,
    double meanIntervalMs,
    double deviationMs,
    boolean refused,
    long pendingSinceMs) {
  /** The value of {@code pendingSinceMs} when no request is waiting for an answer. */
  public static final long NO_PENDING_REQUEST = Long.MIN_VALUE;

  /** The lower bound of the silence timeout, in milliseconds. */
  public static final long MIN_SILENCE_TIMEOUT_MS = 300;

  /** The upper bound of the silence timeout, in milliseconds. */
  public static final long MAX_SILENCE_TIMEOUT_MS = 1_500;

  /** The time that a request must have waited before silence matters, in milliseconds. */
  public static final long MIN_WAIT_MS = 200;

  private static final double SMOOTHING_FACTOR = 0.125;
  private static final double DEVIATION_FACTOR = 4;
  private static final long MAX_INTERVAL_MS = 2_000;
  private static final long OVERDUE_AFTER_MS = 50;

  /**
   * Returns the state of an instance that has not answered yet.
   *
   * @param nowMs the monotonic time from which silence is measured, in milliseconds
   * @return the initial state
   */
  public static FailureDetector initial(long nowMs) {
    return new FailureDetector(nowMs, 0, 0, false, NO_PENDING_REQUEST);
  }

  /**
   * Returns the state after a request was sent.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @return the new state
   */
  public FailureDetector afterRequest(long nowMs) {
    return pendingSinceMs == NO_PENDING_REQUEST
        ? new FailureDetector(lastAnswerMs, meanIntervalMs, deviationMs, refused, nowMs)
        : this;
  }

  /**
   * Returns the state after an answer.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @return the new state
   */
  public FailureDetector afterAnswer(long nowMs) {
    double intervalMs = Math.clamp(nowMs - lastAnswerMs, 0, MAX_INTERVAL_MS);
    double errorMs = intervalMs - meanIntervalMs;
    return new FailureDetector(
        Math.max(nowMs, lastAnswerMs),
        meanIntervalMs + SMOOTHING_FACTOR * errorMs,
        deviationMs + SMOOTHING_FACTOR * (Math.abs(errorMs) - deviationMs),
        false,
        NO_PENDING_REQUEST);
  }

  /**
   * Returns the state after a refused connection.
   *
   * @param sentMs the monotonic time at which the connection was tried, in milliseconds
   * @return the new state; the same if a later answer has arrived
   */
  public FailureDetector afterRefusedConnection(long sentMs) {
    return sentMs < lastAnswerMs
        ? this
        : new FailureDetector(lastAnswerMs, meanIntervalMs, deviationMs, true, pendingSinceMs);
  }

  /**
   * Returns the silence after which the instance counts as gone.
   *
   * @return the timeout, in milliseconds
   */
  public long silenceTimeoutMs() {
    double adaptiveMs = meanIntervalMs + DEVIATION_FACTOR * deviationMs;
    return Math.clamp((long) adaptiveMs, MIN_SILENCE_TIMEOUT_MS, MAX_SILENCE_TIMEOUT_MS);
  }

  /**
   * Returns whether the instance counts as gone.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @return true after a refused connection, or if the silence timeout has passed
   */
  public boolean isGone(long nowMs) {
    return refused
        || (waitedMs(nowMs) >= MIN_WAIT_MS && sinceLastAnswerMs(nowMs) >= silenceTimeoutMs());
  }

  /**
   * Returns whether an answer is overdue, so that the instance should be probed more often.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @return true after a refused connection, or if a request has waited long for its answer
   */
  public boolean isAnswerOverdue(long nowMs) {
    return refused || waitedMs(nowMs) >= OVERDUE_AFTER_MS;
  }

  /**
   * Returns the time since the last answer.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @return the time, in milliseconds
   */
  public long sinceLastAnswerMs(long nowMs) {
    return nowMs - lastAnswerMs;
  }

  private long waitedMs(long nowMs) {
    return pendingSinceMs == NO_PENDING_REQUEST ? 0 : nowMs - pendingSinceMs;
  }
}
