package io.lycheejunction.core.clock;

import java.util.concurrent.CountDownLatch;

/**
 * The clock of the runtime; every wait and every reading of time goes through it.
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
   * Returns a time that never goes back; only differences of it have a meaning.
   *
   * @return milliseconds from an arbitrary origin
   */
  long monotonicMs();

  /**
   * Returns after the given time has passed on this clock.
   *
   * @param durationMs the time to wait, in milliseconds
   * @throws InterruptedException if the thread is interrupted
   */
  void sleepMs(long durationMs) throws InterruptedException;

  /**
   * Returns whether the latch reached zero before the given time passed on this clock.
   *
   * @param latch the latch to wait for
   * @param timeoutMs the time to wait, in milliseconds
   * @return true if the latch is at zero
   * @throws InterruptedException if the thread is interrupted
   */
  default boolean awaitMs(CountDownLatch latch, long timeoutMs) throws InterruptedException {
    long untilMs = monotonicMs() + timeoutMs;
    while (latch.getCount() > 0) {
      if (monotonicMs() >= untilMs) {
        return false;
      }
      sleepMs(1);
    }
    return true;
  }
}
