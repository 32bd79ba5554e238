package io.lycheejunction.gateway.schedule;

/**
 * The clock and the timers of the gateway's one thread.
 *
 * <p>All parts of the gateway run on this thread, so they need no locks and must never block.
 */
public interface Scheduler {

  /** A task that waits for its time. */
  interface Timer {

    /** Drops the task if it has not run yet. */
    void cancel();
  }

  /**
   * Returns the monotonic time.
   *
   * @return milliseconds from an arbitrary origin
   */
  long nowMs();

  /**
   * Runs a task later on the gateway's thread.
   *
   * @param delayMs the delay, in milliseconds
   * @param task the task
   * @return the timer, to cancel the task
   */
  Timer schedule(long delayMs, Runnable task);
}
