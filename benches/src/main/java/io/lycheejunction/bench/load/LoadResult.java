package io.lycheejunction.bench.load;

import java.util.Objects;
import org.HdrHistogram.Histogram;

/**
 * What one run of a load counted and timed.
 *
 * @param done the steps that succeeded
 * @param failed the steps that failed
 * @param durationMs the duration of the run, in milliseconds
 * @param micros the durations of the steps that succeeded, in microseconds
 */
public record LoadResult(long done, long failed, double durationMs, Histogram micros) {
  private static final double MICROS_PER_MS = 1_000;
  private static final double MS_PER_SECOND = 1_000;

  /** Rejects a null histogram. */
  public LoadResult {
    Objects.requireNonNull(micros, "micros is null");
  }

  /**
   * Returns the number of successful steps in a second.
   *
   * @return the number
   */
  public double perSecond() {
    return done * MS_PER_SECOND / durationMs;
  }

  /**
   * Returns a percentile of the durations of successful steps.
   *
   * @param percentile from 0 to 100
   * @return the duration in milliseconds
   */
  public double ms(double percentile) {
    return micros.getValueAtPercentile(percentile) / MICROS_PER_MS;
  }
}
