package io.lycheejunction.core.clock;

/**
 * Finds out that the monotonic clock may have missed time, by comparing it with the wall clock.
 *
 * <p>A suspended VM does not count the time that it slept on its monotonic clock, while its wall
 * clock goes on. A step of the wall clock looks the same and is treated the same: what rests on
 * measured ages has to be proven again, which costs a question. Not safe for concurrent use.
 */
public final class SuspensionCheck {
  /** The difference between the clocks that counts, in milliseconds. */
  public static final long TOLERANCE_MS = 60;

  private long lastOffsetMs;

  /**
   * Creates a check that starts from the present readings.
   *
   * @param monotonicMs the monotonic time, in milliseconds
   * @param wallMs the wall-clock time, in milliseconds
   */
  public SuspensionCheck(long monotonicMs, long wallMs) {
    this.lastOffsetMs = wallMs - monotonicMs;
  }

  /**
   * Returns whether the clocks have moved apart since the last call that returned true.
   *
   * @param monotonicMs the monotonic time, in milliseconds
   * @param wallMs the wall-clock time, in milliseconds
   * @return true if measured ages can't be trusted any more
   */
  public boolean isSuspected(long monotonicMs, long wallMs) {
    long offsetMs = wallMs - monotonicMs;
    if (Math.abs(offsetMs - lastOffsetMs) <= TOLERANCE_MS) {
      return false;
    }
    lastOffsetMs = offsetMs;
    return true;
  }
}
