package io.lycheejunction.bench.load;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** What callers counted and timed; safe for use by several threads. */
public final class Tally {
  private static final long LONGEST_MICROS = TimeUnit.MINUTES.toMicros(2);
  private static final int DIGITS = 3;
  private static final double MICROS_PER_MS = 1_000.0;

  private final LongAdder statements = new LongAdder();
  private final LongAdder replicaReads = new LongAdder();
  private final LongAdder reads = new LongAdder();
  private final LongAdder staleReads = new LongAdder();
  private final LongAdder cutOff = new LongAdder();
  private final LongAdder refused = new LongAdder();
  private final Histogram writeMicros = new ConcurrentHistogram(LONGEST_MICROS, DIGITS);
  private final Histogram readMicros = new ConcurrentHistogram(LONGEST_MICROS, DIGITS);

  /** Counts a statement that was sent. */
  void sent() {
    statements.increment();
  }

  /** Counts a request that was sent and got no whole answer. */
  void cutOff() {
    cutOff.increment();
  }

  /** Counts a refusal. */
  void refused() {
    refused.increment();
  }

  /** Counts a read that missed what it had to see. */
  void stale() {
    staleReads.increment();
  }

  /**
   * Records an acknowledged write.
   *
   * @param micros the time from sending to the answer, in microseconds
   */
  void wrote(long micros) {
    writeMicros.recordValue(Math.min(LONGEST_MICROS, micros));
  }

  /**
   * Records an answered read.
   *
   * @param micros the time from sending to the answer, in microseconds
   * @param replica true if a replica answered
   */
  void read(long micros, boolean replica) {
    readMicros.recordValue(Math.min(LONGEST_MICROS, micros));
    reads.increment();
    if (replica) {
      replicaReads.increment();
    }
  }

  /**
   * Returns the number of statements that were sent.
   *
   * @return the number
   */
  public long statements() {
    return statements.sum();
  }

  /**
   * Returns the number of refusals.
   *
   * @return the number
   */
  public long refusals() {
    return refused.sum();
  }

  /**
   * Returns the number of reads that missed what they had to see.
   *
   * @return the number
   */
  public long staleReads() {
    return staleReads.sum();
  }

  /**
   * Returns the number of requests that were sent and got no whole answer.
   *
   * @return the number
   */
  public long cutOffRequests() {
    return cutOff.sum();
  }

  /**
   * Returns the share of answered reads that a replica answered.
   *
   * @return the share in percent, 0 without reads
   */
  public double replicaReadSharePct() {
    return reads.sum() == 0 ? 0 : 100.0 * replicaReads.sum() / reads.sum();
  }

  /**
   * Returns a percentile of the time that acknowledged writes took.
   *
   * @param percentile from 0 to 100
   * @return the time in milliseconds
   */
  public double writeMs(double percentile) {
    return writeMicros.getValueAtPercentile(percentile) / MICROS_PER_MS;
  }

  /**
   * Returns a percentile of the time that answered reads took.
   *
   * @param percentile from 0 to 100
   * @return the time in milliseconds
   */
  public double readMs(double percentile) {
    return readMicros.getValueAtPercentile(percentile) / MICROS_PER_MS;
  }
}
