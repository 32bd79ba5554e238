package io.lycheejunction.core.clock;

import java.util.concurrent.CountDownLatch;

/**
 * The clock of the runtime, through which all code reads the time and waits.
 *
 * <p>Tests inject a clock that they pause and advance.
 */
public interface RuntimeClock {

  /**
   * Returns the wall-clock time.
   *
   * @return milliseconds since the epoch
   */
  long wallMs();

  /**
   * Returns the monotonic time, which never goes back; only its differences are meaningful.
   *
   * @return milliseconds from an arbitrary origin
   */
  long monotonicMs();

  /**
   * Waits until the given time has passed on this clock.
   *
   * @param durationMs the time to wait, in milliseconds
   * @throws InterruptedException if the thread is interrupted
   */
  void sleepMs(long durationMs) throws InterruptedException;

  /**
   * Waits until the latch reaches zero or the given time has passed on this clock.
   *
   * @param latch the latch to wait for
   * @param timeoutMs the longest time to wait, in milliseconds
   * @return true if the latch reached zero, false after the timeout
   * @throws InterruptedException if the thread is interrupted
   */
  default boolean awaitMs(CountDownLatch latch, long timeoutMs) throws InterruptedException {
    long deadlineMs = monotonicMs() + timeoutMs;
    while (latch.getCount() > 0) {
      if (monotonicMs() >= deadlineMs) {
        return false;
      }
      sleepMs(1);
    }
    return true;
  }
}
