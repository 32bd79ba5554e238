package io.lycheejunction.gateway.schedule;

/**
 * The clock and the timers of the gateway's single thread.
 *
 * <p>All gateway code runs on this thread, so it needs no locks and must never block.
 */
public interface Scheduler {

  /** A scheduled task. */
  interface Timer {

    /** Cancels the task if it has not run yet. */
    void cancel();
  }

  /**
   * Returns the monotonic time.
   *
   * @return milliseconds from an arbitrary origin
   */
  long nowMs();

  /**
   * Runs a task on the gateway's thread after a delay.
   *
   * @param delayMs the delay, in milliseconds
   * @param task the task
   * @return the timer, to cancel the task
   */
  Timer schedule(long delayMs, Runnable task);
}
