package io.lycheejunction.bench.load;

import io.lycheejunction.core.clock.RuntimeClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Runs the steps of concurrent workers for a given time and records their latencies. */
public final class LoadRunner {
  private static final long MAX_RECORDED_MICROS = TimeUnit.MINUTES.toMicros(2);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MS = 1e6;

  /** The operation that a worker repeats. */
  @FunctionalInterface
  public interface Step {
    /**
     * Runs the step once and returns whether it succeeded.
     *
     * @return true if it succeeded
     * @throws InterruptedException if the thread is interrupted
     */
    boolean run() throws InterruptedException;
  }

  private interface Schedule {
    /** Waits until the step is due and returns the start of its latency, in nanoseconds. */
    long awaitStartNs(int worker, long step, long startNs) throws InterruptedException;
  }

  private final RuntimeClock clock;

  /**
   * Creates a runner.
   *
   * @param clock the clock that workers sleep on until a step is due
   */
  public LoadRunner(RuntimeClock clock) {
    this.clock = Objects.requireNonNull(clock, "clock is null");
  }

  /**
   * Runs a closed-loop load, in which each worker starts its next step once the last has ended.
   *
   * @param workers the step of each worker
   * @param durationMs the duration of the run, in milliseconds
   * @return the result
   * @throws InterruptedException if the thread is interrupted
   */
  public LoadResult runClosedLoop(List<Step> workers, long durationMs) throws InterruptedException {
    return run(workers, durationMs, (worker, step, startNs) -> System.nanoTime());
  }

  /**
   * Runs a load at a constant rate that is spread over the workers.
   *
   * <p>Latency counts from the time at which a step was due, so that a step which starts late
   * because the previous one was slow includes the delay (no coordinated omission).
   *
   * @param workers the step of each worker
   * @param perSecond the rate of all workers together, in steps per second
   * @param durationMs the duration of the run, in milliseconds
   * @return the result
   * @throws InterruptedException if the thread is interrupted
   */
  public LoadResult runAtConstantRate(List<Step> workers, double perSecond, long durationMs)
      throws InterruptedException {
    double intervalNs = NANOS_PER_SECOND / perSecond;
    return run(
        workers,
        durationMs,
        (worker, step, startNs) -> {
          long dueNs = startNs + (long) ((step * workers.size() + worker) * intervalNs);
          long earlyMs = (long) ((dueNs - System.nanoTime()) / NANOS_PER_MS);
          if (earlyMs > 0) {
            clock.sleepMs(earlyMs);
          }
          return Math.min(dueNs, System.nanoTime());
        });
  }

  private LoadResult run(List<Step> workers, long durationMs, Schedule schedule)
      throws InterruptedException {
    Histogram latencyMicros = new ConcurrentHistogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
    LongAdder succeeded = new LongAdder();
    LongAdder failed = new LongAdder();
    List<Thread> threads = new ArrayList<>();
    long startNs = System.nanoTime();
    long endNs = startNs + TimeUnit.MILLISECONDS.toNanos(durationMs);
    for (int i = 0; i < workers.size(); i++) {
      int worker = i;
      threads.add(
          Thread.ofVirtual()
              .start(
                  () -> {
                    try {
                      for (long step = 0; System.nanoTime() < endNs; step++) {
                        long latencyStartNs = schedule.awaitStartNs(worker, step, startNs);
                        if (workers.get(worker).run()) {
                          succeeded.increment();
                          long latencyNs = System.nanoTime() - latencyStartNs;
                          latencyMicros.recordValue(
                              Math.min(
                                  MAX_RECORDED_MICROS, TimeUnit.NANOSECONDS.toMicros(latencyNs)));
                        } else {
                          failed.increment();
                        }
                      }
                    } catch (InterruptedException e) {
                      Thread.currentThread().interrupt();
                    }
                  }));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    double elapsedMs = (System.nanoTime() - startNs) / NANOS_PER_MS;
    return new LoadResult(succeeded.sum(), failed.sum(), elapsedMs, latencyMicros);
  }
}
