package io.lycheejunction.gateway.holder;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.schedule.ManualScheduler;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Answers a failure domain that is cut off, with the holders of a VM that forwards. */
class ForwardingHealthTest {
  private final ManualScheduler scheduler = new ManualScheduler();
  private final ForwardingHealth health = new ForwardingHealth(scheduler);

  private void fail(ResultCode code) {
    for (int i = 0; i < 5; i++) {
      health.ended(Optional.of(Fault.of(code, "test")));
    }
  }

  @Test
  void shouldBeCutOffWhenNothingSucceedsForSecond() {
    scheduler.advanceMs(ForwardingHealth.WITHOUT_SUCCESS_MS);
    fail(ResultCode.TARGET_BUSY);

    assertTrue(health.isCutOff());
  }

  @Test
  void shouldNotBeCutOffWhenAnyStatementSucceeds() {
    scheduler.advanceMs(ForwardingHealth.WITHOUT_SUCCESS_MS);
    fail(ResultCode.TARGET_BUSY);
    health.ended(Optional.empty());

    assertFalse(health.isCutOff());
  }

  @Test
  void shouldNotBeCutOffWhenNobodyHasTried() {
    scheduler.advanceMs(60_000);

    assertFalse(health.isCutOff());
  }

  @Test
  void shouldNotBeCutOffWhenOnlyStatementsThemselvesAreWrong() {
    scheduler.advanceMs(ForwardingHealth.WITHOUT_SUCCESS_MS);
    fail(ResultCode.BAD_STATEMENT);

    assertFalse(health.isCutOff());
  }

  /** Answers the end of the cut: without callers nothing would ever succeed again. */
  @Test
  void shouldTakeCallersAgainAfterWhile() {
    scheduler.advanceMs(ForwardingHealth.WITHOUT_SUCCESS_MS);
    fail(ResultCode.TARGET_BUSY);
    scheduler.advanceMs(ForwardingHealth.FORGOTTEN_MS);

    assertFalse(health.isCutOff());
  }
}
