package io.lycheejunction.core.clock;

/**
 * Detects that the monotonic clock may have missed time, by comparing it with the wall clock.
 *
 * <p>While a VM is suspended, its monotonic clock stops but its wall clock goes on. A step of the
 * wall clock looks the same and is treated the same: everything that depends on measured ages has
 * to be proven again, which costs one request. Not safe for concurrent use.
 */
public final class SuspensionCheck {
  /** The largest difference between the clocks that is ignored, in milliseconds. */
  public static final long TOLERANCE_MS = 60;

  private long lastOffsetMs;

  /**
   * Creates a check with the current readings of both clocks.
   *
   * @param monotonicMs the monotonic time, in milliseconds
   * @param wallMs the wall-clock time, in milliseconds
   */
  public SuspensionCheck(long monotonicMs, long wallMs) {
    this.lastOffsetMs = wallMs - monotonicMs;
  }

  /**
   * Returns whether the clocks have diverged since the last call that returned true, or since the
   * creation of the check.
   *
   * @param monotonicMs the monotonic time, in milliseconds
   * @param wallMs the wall-clock time, in milliseconds
   * @return true if measured ages can no longer be trusted
   */
  public boolean hasDiverged(long monotonicMs, long wallMs) {
    long offsetMs = wallMs - monotonicMs;
    if (Math.abs(offsetMs - lastOffsetMs) <= TOLERANCE_MS) {
      return false;
    }
    lastOffsetMs = offsetMs;
    return true;
  }
}
