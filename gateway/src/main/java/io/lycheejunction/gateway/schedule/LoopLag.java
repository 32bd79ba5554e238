package io.lycheejunction.gateway.schedule;

import java.util.Objects;

/**
 * Measures how far the event loop is behind, from the lateness of a timer. Events that are ready
 * wait about as long as the timer before the loop handles them.
 */
public final class LoopLag {
  /** The weight of the latest lateness; one short pause does not count as being behind. */
  private static final double SMOOTHING = 0.5;

  private final Scheduler scheduler;
  private final long intervalMs;
  private boolean started;
  private long dueMs;
  private double smoothedMs;
  private long stalledMs;

  /**
   * Creates a measurement that has not started, so that the loop counts as not behind.
   *
   * @param scheduler the clock and the timers of the event loop
   * @param intervalMs the interval of the timer, which is also the lag from which the loop counts
   *     as behind, in milliseconds
   */
  public LoopLag(Scheduler scheduler, long intervalMs) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
    this.intervalMs = intervalMs;
  }

  /** Starts to measure. */
  public void start() {
    started = true;
    awaitNext();
  }

  /**
   * Returns the smoothed lag.
   *
   * @return the lag, in milliseconds; 0 before the measurement starts
   */
  public double lagMs() {
    long lateMs = lateMs();
    return lateMs > smoothedMs ? smoothed(lateMs) : smoothedMs;
  }

  /**
   * Returns whether the loop is behind.
   *
   * @return true if the lag is at least the interval of the timer
   */
  public boolean isBehind() {
    return lagMs() >= intervalMs;
  }

  /**
   * Returns the time in which the loop did not handle events in time. The difference of two values
   * is the part of the time between them in which an answer may have waited unread.
   *
   * @return the sum since the start, in milliseconds; it never falls
   */
  public long stalledMs() {
    return stalledMs + stallOf(lateMs());
  }

  private void sample() {
    long lateMs = lateMs();
    smoothedMs = smoothed(lateMs);
    stalledMs += stallOf(lateMs);
    awaitNext();
  }

  private void awaitNext() {
    dueMs = scheduler.nowMs() + intervalMs;
    scheduler.schedule(intervalMs, this::sample);
  }

  private long lateMs() {
    return started ? Math.max(0, scheduler.nowMs() - dueMs) : 0;
  }

  private double smoothed(long lateMs) {
    return smoothedMs + SMOOTHING * (lateMs - smoothedMs);
  }

  private long stallOf(long lateMs) {
    return lateMs >= intervalMs ? lateMs : 0;
  }
}
