package io.lycheejunction.core.group;

/**
 * A lease within which a proxy may send answers that depend on a term.
 *
 * @param term the term that a majority of the instances confirmed
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
   * Returns whether an answer that depends on the term may be sent.
   *
   * @param answerTerm the term that the answer depends on
   * @param nowMs the monotonic time, in milliseconds
   * @param leaseMs the duration of the lease, in milliseconds
   * @return true if the lease is of that term and has not expired
   */
  public boolean covers(long answerTerm, long nowMs, long leaseMs) {
    return answerTerm == term && term >= 0 && nowMs - startMs < leaseMs;
  }
}
