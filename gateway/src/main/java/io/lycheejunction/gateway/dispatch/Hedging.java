package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.core.retry.RetryBudget;
import io.lycheejunction.gateway.target.TargetHandle;

/** Decides when a read is hedged, that is sent to a second target as well, within a budget. */
public final class Hedging {
  private static final double HEDGES_PER_STATEMENT = 0.1;
  private static final double MAX_HEDGE_BURST = 20;
  private static final double OVERDUE_LATENCY_FACTOR = 4;
  private static final long MIN_OVERDUE_MS = 120;
  private static final long MAX_OVERDUE_MS = 400;

  private RetryBudget budget = RetryBudget.full(HEDGES_PER_STATEMENT, MAX_HEDGE_BURST);

  /** Creates a policy with a full budget. */
  public Hedging() {}

  /** Records a statement, which adds to the budget of hedged reads. */
  void onStatement() {
    budget = budget.afterFirstAttempt();
  }

  /** Takes one hedged read out of the budget; returns false if the budget is used up. */
  boolean tryHedge() {
    if (!budget.isRetryAllowed()) {
      return false;
    }
    budget = budget.afterRetry();
    return true;
  }

  /** Returns the time in milliseconds after which a target's answer is overdue. */
  long overdueAfterMs(TargetHandle target) {
    double expectedMs = target.latencyMs() * (1 + target.pool().waiting());
    return Math.clamp((long) (OVERDUE_LATENCY_FACTOR * expectedMs), MIN_OVERDUE_MS, MAX_OVERDUE_MS);
  }
}
