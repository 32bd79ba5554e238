package io.lycheejunction.bench.load;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Thread-safe counters and latencies of the statements of simulated callers. */
public final class CallerStatistics {
  private static final long MAX_RECORDED_MICROS = TimeUnit.MINUTES.toMicros(2);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MS = 1_000.0;

  private final LongAdder statements = new LongAdder();
  private final LongAdder replicaReads = new LongAdder();
  private final LongAdder reads = new LongAdder();
  private final LongAdder staleReads = new LongAdder();
  private final LongAdder incomplete = new LongAdder();
  private final LongAdder refused = new LongAdder();
  private final Histogram writeMicros =
      new ConcurrentHistogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram readMicros =
      new ConcurrentHistogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);

  /** Counts a statement before it is sent. */
  void countStatement() {
    statements.increment();
  }

  /** Counts a request without a complete answer, which may have reached the proxy. */
  void countIncomplete() {
    incomplete.increment();
  }

  /** Counts a request that was not sent, or whose answer is not {@code done}. */
  void countRefused() {
    refused.increment();
  }

  /** Counts a read that did not return an order that it had to see. */
  void countStaleRead() {
    staleReads.increment();
  }

  /**
   * Records an acknowledged write.
   *
   * @param micros the latency as seen by the caller, in microseconds
   */
  void recordWrite(long micros) {
    writeMicros.recordValue(Math.min(MAX_RECORDED_MICROS, micros));
  }

  /**
   * Records a successful read.
   *
   * @param micros the latency as seen by the caller, in microseconds
   * @param replica true if a replica answered
   */
  void recordRead(long micros, boolean replica) {
    readMicros.recordValue(Math.min(MAX_RECORDED_MICROS, micros));
    reads.increment();
    if (replica) {
      replicaReads.increment();
    }
  }

  /**
   * Returns the number of statements, including those that could not be sent.
   *
   * @return the number
   */
  public long statements() {
    return statements.sum();
  }

  /**
   * Returns the number of requests that were not sent, or whose answer is not {@code done}.
   *
   * @return the number
   */
  public long refusals() {
    return refused.sum();
  }

  /**
   * Returns the number of reads that did not return an order that they had to see.
   *
   * @return the number
   */
  public long staleReads() {
    return staleReads.sum();
  }

  /**
   * Returns the number of requests without a complete answer, which may have reached the proxy.
   *
   * @return the number
   */
  public long incompleteRequests() {
    return incomplete.sum();
  }

  /**
   * Returns the share of successful reads that a replica answered.
   *
   * @return the share in percent, 0 if there were no reads
   */
  public double replicaReadSharePct() {
    return reads.sum() == 0 ? 0 : 100.0 * replicaReads.sum() / reads.sum();
  }

  /**
   * Returns a percentile of the latencies of acknowledged writes.
   *
   * @param percentile the percentile, from 0 to 100
   * @return the latency in milliseconds
   */
  public double writeMs(double percentile) {
    return writeMicros.getValueAtPercentile(percentile) / MICROS_PER_MS;
  }

  /**
   * Returns a percentile of the latencies of successful reads.
   *
   * @param percentile the percentile, from 0 to 100
   * @return the latency in milliseconds
   */
  public double readMs(double percentile) {
    return readMicros.getValueAtPercentile(percentile) / MICROS_PER_MS;
  }
}
