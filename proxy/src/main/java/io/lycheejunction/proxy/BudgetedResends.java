package io.lycheejunction.proxy;

import io.lycheejunction.core.retry.SharedRetryBudget;
import io.lycheejunction.proxy.caller.Resends;
import java.util.Objects;

/** Takes the resends of callers' requests out of the proxy's retry budget. */
final class BudgetedResends implements Resends {
  private final SharedRetryBudget budget;

  BudgetedResends(SharedRetryBudget budget) {
    this.budget = Objects.requireNonNull(budget, "budget is null");
  }

  @Override
  public void recordFirst() {
    budget.firstTry();
  }

  @Override
  public boolean tryResend() {
    return budget.tryRetry();
  }
}
