package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.core.retry.RetryBudget;
import io.lycheejunction.gateway.target.TargetHandle;

/** Decides when a read is tried on a second target beside the first, within a budget. */
public final class Hedging {
  private static final double SHARE = 0.1;
  private static final double BURST = 20;
  private static final double TYPICAL_TIMES = 4;
  private static final long MIN_OVERDUE_MS = 120;
  private static final long MAX_OVERDUE_MS = 400;

  private RetryBudget budget = RetryBudget.full(SHARE, BURST);

  /** Creates a full budget. */
  public Hedging() {}

  /** Records a statement, which earns a share of a second try. */
  void onStatement() {
    budget = budget.afterFirstTry();
  }

  /** Takes a second try out of the budget, if there is one. */
  boolean take() {
    if (!budget.isRetryAllowed()) {
      return false;
    }
    budget = budget.afterRetry();
    return true;
  }

  /** Returns the time after which a target's answer is overdue, in milliseconds. */
  long overdueAfterMs(TargetHandle target) {
    double expectedMs = target.latencyMs() * (1 + target.pool().waiting());
    return Math.clamp((long) (TYPICAL_TIMES * expectedMs), MIN_OVERDUE_MS, MAX_OVERDUE_MS);
  }
}
