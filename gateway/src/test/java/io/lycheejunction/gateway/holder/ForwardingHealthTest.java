package io.lycheejunction.gateway.holder;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.schedule.ManualScheduler;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against attracting callers to a VM whose holders are all cut off. */
class ForwardingHealthTest {
  private final ManualScheduler scheduler = new ManualScheduler();
  private final ForwardingHealth health = new ForwardingHealth(scheduler);

  private void recordFailures(ResultCode code) {
    for (int i = 0; i < 5; i++) {
      health.recordResult(Optional.of(Fault.of(code, "test")));
    }
  }

  @Test
  void shouldBeCutOffWhenNoStatementSucceedsForSecond() {
    scheduler.advanceMs(ForwardingHealth.MAX_WITHOUT_SUCCESS_MS);
    recordFailures(ResultCode.TARGET_BUSY);

    assertTrue(health.isCutOff());
  }

  @Test
  void shouldNotBeCutOffWhenAnyStatementSucceeds() {
    scheduler.advanceMs(ForwardingHealth.MAX_WITHOUT_SUCCESS_MS);
    recordFailures(ResultCode.TARGET_BUSY);
    health.recordResult(Optional.empty());

    assertFalse(health.isCutOff());
  }

  @Test
  void shouldNotBeCutOffWhenNoStatementWasRun() {
    scheduler.advanceMs(60_000);

    assertFalse(health.isCutOff());
  }

  @Test
  void shouldNotBeCutOffWhenOnlyInvalidStatementsFail() {
    scheduler.advanceMs(ForwardingHealth.MAX_WITHOUT_SUCCESS_MS);
    recordFailures(ResultCode.BAD_STATEMENT);

    assertFalse(health.isCutOff());
  }

  /** Guards against staying cut off forever: without callers no statement could succeed again. */
  @Test
  void shouldNotBeCutOffWhenFailuresHaveExpired() {
    scheduler.advanceMs(ForwardingHealth.MAX_WITHOUT_SUCCESS_MS);
    recordFailures(ResultCode.TARGET_BUSY);
    scheduler.advanceMs(ForwardingHealth.FAILURES_EXPIRE_MS);

    assertFalse(health.isCutOff());
  }
}
