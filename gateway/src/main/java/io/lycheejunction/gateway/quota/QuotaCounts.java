package io.lycheejunction.gateway.quota;

/** What quotas have done since the start of the process, for metrics. */
public final class QuotaCounts {
  long allowed;
  long refused;
  long refusedByCache;
  long requests;
  double tokensGiven;
  double tokensReceived;
  double tokensExpired;

  QuotaCounts() {}

  /**
   * Returns the operations that were allowed.
   *
   * @return the number
   */
  public double allowed() {
    return allowed;
  }

  /**
   * Returns the operations that this VM refused as a holder.
   *
   * @return the number
   */
  public double refused() {
    return refused;
  }

  /**
   * Returns the operations that this VM refused, as it remembered a refusal of a holder.
   *
   * @return the number
   */
  public double refusedByCache() {
    return refusedByCache;
  }

  /**
   * Returns the requests for tokens that this VM has sent.
   *
   * @return the number
   */
  public double requests() {
    return requests;
  }

  /**
   * Returns the tokens that this VM has given to others.
   *
   * @return the number
   */
  public double tokensGiven() {
    return tokensGiven;
  }

  /**
   * Returns the tokens that this VM has received.
   *
   * @return the number
   */
  public double tokensReceived() {
    return tokensReceived;
  }

  /**
   * Returns the received tokens that were too late or not used in time.
   *
   * @return the number
   */
  public double tokensExpired() {
    return tokensExpired;
  }
}
