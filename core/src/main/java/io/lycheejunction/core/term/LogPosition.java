package io.lycheejunction.core.term;

import java.util.Comparator;

/**
 * A position in a database group's replicated log, ordered by term first and offset second.
 *
 * @param term the term of the primary that wrote the entry
 * @param offset the number of log entries up to and including this one
 */
public record LogPosition(long term, long offset) implements Comparable<LogPosition> {
  /** The position before the first entry. */
  public static final LogPosition ORIGIN = new LogPosition(0, 0);

  private static final Comparator<LogPosition> TERM_FIRST =
      Comparator.comparingLong(LogPosition::term).thenComparingLong(LogPosition::offset);

  /** Rejects negative components. */
  public LogPosition {
    if (term < 0 || offset < 0) {
      throw new IllegalArgumentException("term or offset is negative");
    }
  }

  @Override
  public int compareTo(LogPosition other) {
    return TERM_FIRST.compare(this, other);
  }

  /**
   * Returns whether this position is equal to the other one or later.
   *
   * @param other the position to compare with
   * @return true if a log up to this position includes the other one
   */
  public boolean isAtLeast(LogPosition other) {
    return compareTo(other) >= 0;
  }

  /**
   * Returns the later of two positions.
   *
   * @param other the other position
   * @return this position if it is at least the other one, otherwise the other one
   */
  public LogPosition max(LogPosition other) {
    return isAtLeast(other) ? this : other;
  }
}
