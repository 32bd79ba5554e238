package io.lycheejunction.core.group;

/**
 * The time within which answers of a term may be sent.
 *
 * @param term the term that a majority confirmed
 * @param startMs the monotonic time at which the confirming round started, in milliseconds
 */
public record AckLease(long term, long startMs) {
  private static final AckLease NONE = new AckLease(-1, 0);

  /**
   * Returns the lease that covers no term.
   *
   * @return the empty lease
   */
  public static AckLease none() {
    return NONE;
  }

  /**
   * Returns the lease of the higher term, or of the later round in the same term.
   *
   * @param other the other lease
   * @return one of the two
   */
  public AckLease max(AckLease other) {
    if (other.term != term) {
      return other.term > term ? other : this;
    }
    return other.startMs > startMs ? other : this;
  }

  /**
   * Returns whether an answer of the term may be sent.
   *
   * @param wantedTerm the term of the answer
   * @param nowMs the monotonic time, in milliseconds
   * @param leaseMs the duration of the lease, in milliseconds
   * @return true if the lease is of that term and has not passed
   */
  public boolean covers(long wantedTerm, long nowMs, long leaseMs) {
    return wantedTerm == term && term >= 0 && nowMs - startMs < leaseMs;
  }
}
