package io.lycheejunction.bench.load;

import java.util.Objects;
import org.HdrHistogram.Histogram;

/**
 * Counts and latencies of one load run.
 *
 * @param succeeded the number of steps that succeeded
 * @param failed the number of steps that failed
 * @param durationMs the duration of the run, in milliseconds
 * @param latencyMicros the latencies of the steps that succeeded, in microseconds
 */
public record LoadResult(long succeeded, long failed, double durationMs, Histogram latencyMicros) {
  private static final double MICROS_PER_MS = 1_000;
  private static final double MS_PER_SECOND = 1_000;

  /** Rejects a null histogram. */
  public LoadResult {
    Objects.requireNonNull(latencyMicros, "latencyMicros is null");
  }

  /**
   * Returns the throughput of successful steps.
   *
   * @return the number of steps per second
   */
  public double perSecond() {
    return succeeded * MS_PER_SECOND / durationMs;
  }

  /**
   * Returns a percentile of the latencies of successful steps.
   *
   * @param percentile the percentile, from 0 to 100
   * @return the latency in milliseconds
   */
  public double percentileMs(double percentile) {
    return latencyMicros.getValueAtPercentile(percentile) / MICROS_PER_MS;
  }
}
