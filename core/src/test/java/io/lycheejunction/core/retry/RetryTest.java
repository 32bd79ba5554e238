package io.lycheejunction.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RetryTest {
  @Nested
  class Budget {
    @Test
    void shouldAllowShareOfFirstAttemptsWhenAllFail() {
      SharedRetryBudget budget = new SharedRetryBudget(RetryBudget.full(0.1, 5));
      int retries = 0;
      for (int i = 0; i < 1_000; i++) {
        budget.recordFirstAttempt();
        retries += budget.tryAcquireRetry() ? 1 : 0;
      }
      assertTrue(retries >= 104 && retries <= 105, "retries " + retries);
    }

    @Test
    void shouldRefuseWhenBalanceIsUsed() {
      SharedRetryBudget budget = new SharedRetryBudget(RetryBudget.full(0.1, 1));
      assertTrue(budget.tryAcquireRetry());
      assertFalse(budget.tryAcquireRetry());
    }
  }

  @Property(seed = "12", tries = 200)
  void shouldKeepDelayWithinBoundsWhenRefusalRequestsDelay(
      @ForAll @IntRange(min = 0, max = 100) int retry,
      @ForAll @IntRange(min = 0, max = 2_000) int retryAfterMs) {
    long delayMs = new Backoff(10, 1_000).delayMs(retry, retryAfterMs, new Random(retry));
    assertTrue(delayMs >= Math.min(1_000, retryAfterMs) && delayMs <= 2_000);
  }

  @Test
  void shouldRepeatDelaysWhenSeedIsTheSame() {
    Backoff backoff = new Backoff(10, 1_000);
    assertEquals(backoff.delayMs(3, 0, new Random(5)), backoff.delayMs(3, 0, new Random(5)));
  }
}
