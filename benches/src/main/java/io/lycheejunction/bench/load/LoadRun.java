package io.lycheejunction.bench.load;

import io.lycheejunction.core.clock.RuntimeClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Runs the steps of several workers for a while and times them. */
public final class LoadRun {
  private static final long LONGEST_MICROS = TimeUnit.MINUTES.toMicros(2);
  private static final int DIGITS = 3;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MS = 1e6;

  /** One step of a worker. */
  @FunctionalInterface
  public interface Step {
    /**
     * Returns whether the step succeeded.
     *
     * @return true if it did
     * @throws InterruptedException if the thread is interrupted
     */
    boolean run() throws InterruptedException;
  }

  private interface Pace {
    /** Returns the time from which the step counts, once the step is due. */
    long awaitNs(int worker, long step, long startNs) throws InterruptedException;
  }

  private final RuntimeClock clock;

  /**
   * Creates a runner.
   *
   * @param clock the runtime clock
   */
  public LoadRun(RuntimeClock clock) {
    this.clock = Objects.requireNonNull(clock, "clock is null");
  }

  /**
   * Returns the result of workers that start a step as soon as the last has ended.
   *
   * @param workers one step for each worker
   * @param durationMs the duration of the run, in milliseconds
   * @return the result
   * @throws InterruptedException if the thread is interrupted
   */
  public LoadResult closed(List<Step> workers, long durationMs) throws InterruptedException {
    return run(workers, durationMs, (worker, step, startNs) -> System.nanoTime());
  }

  /**
   * Returns the result of workers that share a constant rate, timed from when a step was due.
   *
   * @param workers one step for each worker
   * @param perSecond the steps of all workers in a second
   * @param durationMs the duration of the run, in milliseconds
   * @return the result
   * @throws InterruptedException if the thread is interrupted
   */
  public LoadResult offered(List<Step> workers, double perSecond, long durationMs)
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

  private LoadResult run(List<Step> workers, long durationMs, Pace pace)
      throws InterruptedException {
    Histogram micros = new ConcurrentHistogram(LONGEST_MICROS, DIGITS);
    LongAdder done = new LongAdder();
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
                        long fromNs = pace.awaitNs(worker, step, startNs);
                        if (workers.get(worker).run()) {
                          done.increment();
                          long tookNs = System.nanoTime() - fromNs;
                          micros.recordValue(
                              Math.min(LONGEST_MICROS, TimeUnit.NANOSECONDS.toMicros(tookNs)));
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
    double tookMs = (System.nanoTime() - startNs) / NANOS_PER_MS;
    return new LoadResult(done.sum(), failed.sum(), tookMs, micros);
  }
}
