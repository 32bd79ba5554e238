package io.lycheejunction.core.retry;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

/** A retry budget that the requests of a process share; safe for concurrent use. */
public final class SharedRetryBudget {
  private final AtomicReference<RetryBudget> budget;

  /**
   * Creates a shared budget.
   *
   * @param start the initial budget
   */
  public SharedRetryBudget(RetryBudget start) {
    this.budget = new AtomicReference<>(Objects.requireNonNull(start, "start is null"));
  }

  /** Records a first attempt, which adds to the balance. */
  public void recordFirstAttempt() {
    budget.updateAndGet(RetryBudget::afterFirstAttempt);
  }

  /**
   * Returns whether a retry is allowed now and, if so, subtracts it from the budget.
   *
   * @return true if the retry is allowed
   */
  public boolean tryAcquireRetry() {
    RetryBudget before = budget.getAndUpdate(now -> now.isRetryAllowed() ? now.afterRetry() : now);
    return before.isRetryAllowed();
  }
}
