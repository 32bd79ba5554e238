package io.lycheejunction.core.retry;

/**
 * A token bucket that limits retries to a share of first attempts; immutable.
 *
 * @param balance the number of retries that are allowed now; a fraction below 1 allows none
 * @param share the number of retries that each first attempt adds to the balance
 * @param maxBalance the largest balance, which limits a burst of retries
 */
public record RetryBudget(double balance, double share, double maxBalance) {

  /**
   * Returns a budget that starts full.
   *
   * @param share the number of retries that each first attempt adds to the balance
   * @param maxBalance the largest balance
   * @return a budget with the largest balance
   */
  public static RetryBudget full(double share, double maxBalance) {
    return new RetryBudget(maxBalance, share, maxBalance);
  }

  /**
   * Returns the budget after a first attempt.
   *
   * @return the budget with the share added
   */
  public RetryBudget afterFirstAttempt() {
    return new RetryBudget(Math.min(maxBalance, balance + share), share, maxBalance);
  }

  /**
   * Returns whether a retry is allowed.
   *
   * @return true if the balance is at least 1
   */
  public boolean isRetryAllowed() {
    return balance >= 1;
  }

  /**
   * Returns the budget after a retry.
   *
   * @return the budget with 1 subtracted
   */
  public RetryBudget afterRetry() {
    return new RetryBudget(balance - 1, share, maxBalance);
  }
}
