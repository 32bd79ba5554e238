package io.lycheejunction.core.clock;

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
}
