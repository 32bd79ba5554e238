package io.lycheejunction.core.retry;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

/** A retry budget that the requests of a process share; safe for concurrent use. */
public final class SharedRetryBudget {
  private final AtomicReference<RetryBudget> budget;

  /**
   * Creates a shared budget.
   *
   * @param start the budget to start with
   */
  public SharedRetryBudget(RetryBudget start) {
    this.budget = new AtomicReference<>(Objects.requireNonNull(start, "start is null"));
  }

  /** Records a first try. */
  public void firstTry() {
    budget.updateAndGet(RetryBudget::afterFirstTry);
  }

  /**
   * Returns whether a retry may be made now; if so, it is taken from the budget.
   *
   * @return true if the retry is allowed
   */
  public boolean tryRetry() {
    RetryBudget before = budget.getAndUpdate(now -> now.isRetryAllowed() ? now.afterRetry() : now);
    return before.isRetryAllowed();
  }
}
