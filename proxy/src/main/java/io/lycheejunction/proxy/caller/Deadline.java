package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.clock.RuntimeClock;
import java.util.Objects;

/**
 * The time by which a request must be answered.
 *
 * @param clock the runtime clock
 * @param atMs the deadline on the clock's monotonic time, in milliseconds
 */
record Deadline(RuntimeClock clock, long atMs) {

  Deadline {
    Objects.requireNonNull(clock, "clock is null");
  }

  /**
   * Returns the deadline that is the given time after now.
   *
   * @param clock the runtime clock
   * @param timeoutMs the time to the deadline, in milliseconds
   * @return the deadline
   */
  static Deadline after(RuntimeClock clock, long timeoutMs) {
    return new Deadline(clock, clock.monotonicMs() + timeoutMs);
  }

  /**
   * Returns the time that remains.
   *
   * @return the time in milliseconds, 0 once the deadline has passed
   */
  long remainingMs() {
    return Math.max(0, atMs - clock.monotonicMs());
  }

  /**
   * Returns whether no further attempt may start.
   *
   * @return true once the deadline has passed, or the thread is interrupted, as it is when the
   *     caller disconnects
   */
  boolean isOver() {
    return remainingMs() == 0 || Thread.currentThread().isInterrupted();
  }
}
