package io.lycheejunction.gateway.failover;

/**
 * How long this VM waits after a replacement of a primary that has failed, before it tries again.
 *
 * <p>Where there are many holders the interval doubles with each failure, so that a replacement
 * which finds no quorum does not load the VMs that are to agree.
 */
final class RunBackoff {
  /** The first interval, in milliseconds. */
  static final long FIRST_MS = 400;

  /** The longest interval, in milliseconds. */
  static final long MAX_MS = 3_200;

  /**
   * The number of replacements that may fail where there are few holders, until they take turns.
   */
  private static final int FREE_ATTEMPTS = 2;

  private static final long NOT_STARTED = 0;

  private long delayMs = NOT_STARTED;
  private int attempts;

  /** Records that a replacement is started, which may fail. */
  void onStarted() {
    attempts++;
    delayMs = delayMs == NOT_STARTED ? FIRST_MS : Math.min(MAX_MS, 2 * delayMs);
  }

  /** Starts anew with the first interval, since the primary need not be replaced any more. */
  void reset() {
    delayMs = NOT_STARTED;
    attempts = 0;
  }

  /**
   * Returns whether VMs replace the primary in turns.
   *
   * @param holders the number of holders that this VM knows
   */
  boolean takesTurns(int holders) {
    return !ReplacementTurn.isFew(holders) || attempts >= FREE_ATTEMPTS;
  }

  /**
   * Returns whether another replacement may start.
   *
   * @param last the previous replacement, which has ended
   * @param holders the number of holders that this VM knows
   * @param nowMs the present time, in milliseconds
   */
  boolean isOver(FailoverRun last, int holders, long nowMs) {
    if (!takesTurns(holders)) {
      return !last.isReleaseDenied() || nowMs - last.startedMs() >= FIRST_MS;
    }
    return nowMs - last.endedMs() >= delayMs;
  }
}
