package io.lycheejunction.core.retry;

/**
 * Allows retries as a share of first tries; immutable.
 *
 * @param balance the retries that are allowed now, a whole retry for each 1.0
 * @param share the part of a retry that each first try adds
 * @param maxBalance the largest balance, which bounds a burst of retries
 */
public record RetryBudget(double balance, double share, double maxBalance) {

  /**
   * Returns a budget that starts full.
   *
   * @param share the part of a retry that each first try adds
   * @param maxBalance the largest balance
   * @return the budget
   */
  public static RetryBudget full(double share, double maxBalance) {
    return new RetryBudget(maxBalance, share, maxBalance);
  }

  /**
   * Returns the budget after a first try.
   *
   * @return the budget, with the share added
   */
  public RetryBudget afterFirstTry() {
    return new RetryBudget(Math.min(maxBalance, balance + share), share, maxBalance);
  }

  /**
   * Returns whether a retry is allowed.
   *
   * @return true if the balance holds a whole retry
   */
  public boolean isRetryAllowed() {
    return balance >= 1;
  }

  /**
   * Returns the budget after a retry.
   *
   * @return the budget, with one retry taken
   */
  public RetryBudget afterRetry() {
    return new RetryBudget(balance - 1, share, maxBalance);
  }
}
