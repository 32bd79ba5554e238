package io.lycheejunction.gateway.holder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.schedule.ManualScheduler;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Guards against attracting callers to a VM whose holders are all cut off. */
class ForwardingHealthTest {
  private static final List<String> SERVICES = List.of("ledger", "orders", "boards");

  private final ManualScheduler scheduler = new ManualScheduler();
  private final ForwardingHealth health =
      new ForwardingHealth(scheduler, () -> SERVICES.size(), this::checkStore);
  private boolean storeAnswers = true;
  private int storeChecks;

  private void checkStore(Consumer<Boolean> done) {
    storeChecks++;
    done.accept(storeAnswers);
  }

  private void recordFailures(ResultCode code) {
    for (int i = 0; i < 5; i++) {
      recordFailure("ledger", code);
    }
  }

  private void recordFailure(String service, ResultCode code) {
    health.recordResult(service, true, Optional.of(Fault.of(code, "test")));
  }

  private void recordRead(String service) {
    health.recordResult(service, false, Optional.empty());
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
    recordRead("ledger");

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

  /**
   * Load: a failure domain is cut off with its replicas. Reads that accept old data succeeded for
   * seconds, so its VMs attracted callers whose other statements were all refused.
   */
  @Test
  void shouldBeCutOffWhenMostServicesHaveNoPrimaryAndTheStoreIsSilent() {
    storeAnswers = false;
    SERVICES.forEach(service -> recordFailure(service, ResultCode.NO_PRIMARY));
    SERVICES.forEach(this::recordRead);

    assertTrue(health.isCutOff());
  }

  /**
   * Guards against an outage: all VMs would send their callers away while primaries are replaced.
   */
  @Test
  void shouldNotBeCutOffWhenPrimariesAreReplacedAndTheStoreAnswers() {
    SERVICES.forEach(service -> recordFailure(service, ResultCode.NO_PRIMARY));
    SERVICES.forEach(this::recordRead);

    assertFalse(health.isCutOff());
  }

  /** Guards against an outage: the store is away, and one primary of three has failed. */
  @Test
  void shouldNotBeCutOffWhenOnePrimaryIsMissingAndTheStoreIsSilent() {
    storeAnswers = false;
    recordFailure("ledger", ResultCode.NO_PRIMARY);
    recordRead("ledger");

    assertFalse(health.isCutOff());
    assertEquals(0, storeChecks);
  }

  @Test
  void shouldNotBeCutOffAnyMoreWhenTheStoreAnswersAgain() {
    storeAnswers = false;
    SERVICES.forEach(service -> recordFailure(service, ResultCode.NO_PRIMARY));
    SERVICES.forEach(this::recordRead);
    assertTrue(health.isCutOff());

    storeAnswers = true;
    scheduler.advanceMs(ForwardingHealth.STORE_CHECK_INTERVAL_MS);

    assertFalse(health.isCutOff());
  }

  @Test
  void shouldNotBeCutOffAnyMoreWhenPrimariesAcceptWritesAgain() {
    storeAnswers = false;
    SERVICES.forEach(service -> recordFailure(service, ResultCode.NO_PRIMARY));

    SERVICES.forEach(service -> health.recordResult(service, true, Optional.empty()));

    assertFalse(health.isCutOff());
  }

  /** Guards against calls of the store that grow with the failures. */
  @Test
  void shouldCheckTheStoreOnceAnIntervalWhenManyStatementsFail() {
    for (int i = 0; i < 100; i++) {
      SERVICES.forEach(service -> recordFailure(service, ResultCode.NO_PRIMARY));
    }
    assertEquals(1, storeChecks);

    scheduler.advanceMs(ForwardingHealth.STORE_CHECK_INTERVAL_MS);
    assertEquals(2, storeChecks);
  }
}
