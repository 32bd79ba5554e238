package io.lycheejunction.proxy.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.key.IdempotencyKey;
import io.lycheejunction.core.result.Outcome;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.holder.HolderAnswer;
import io.lycheejunction.proxy.holder.KeyAnswer;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against writes that run twice or are reported as not run after an attempt with an unknown
 * outcome, and against writes that fail although a failover ends before their deadline.
 */
class CoordinatorWriteTest {
  private static final LogPosition COMMIT = new LogPosition(2, 2);
  private final CoordinatorFixture fixture = new CoordinatorFixture();

  private Result<HolderAnswer> done() {
    return CoordinatorFixture.answered("t2", COMMIT, CoordinatorFixture.NEXT_VIEW);
  }

  private static Result<HolderAnswer> fault(ResultCode code) {
    return CoordinatorFixture.fault(code);
  }

  @Nested
  class WithoutKey {
    @Test
    void shouldReturnCommitPositionWhenDone() {
      fixture.holders.onExecute = statement -> done();
      Answer answer = fixture.coordinator.execute(fixture.write(Optional.empty()));
      assertEquals(ResultCode.DONE, answer.code());
      assertEquals(List.of("row"), answer.rows());
      assertEquals(Optional.of(COMMIT), answer.session().floor(CoordinatorFixture.GROUP));
    }

    @Test
    void shouldDispatchOnceWhenOutcomeIsUnknown() {
      fixture.holders.onExecute = statement -> fault(ResultCode.UNKNOWN_OUTCOME);
      Answer answer = fixture.coordinator.execute(fixture.write(Optional.empty()));
      assertEquals(ResultCode.UNKNOWN_OUTCOME, answer.code());
      assertEquals(1, fixture.holders.statements.size());
      assertEquals(0, fixture.clock.monotonicMs());
    }

    @Test
    void shouldWaitForNewPrimaryWhenOldPrimaryIsUnreachable() {
      fixture.clock.scheduleAfterMs(700, () -> fixture.watch.set(CoordinatorFixture.NEXT_VIEW));
      fixture.holders.onExecute =
          statement ->
              statement.target().equals("t2") ? done() : fault(ResultCode.TARGET_UNREACHABLE);
      Answer answer = fixture.coordinator.execute(fixture.write(Optional.empty()));
      assertEquals(ResultCode.DONE, answer.code());
      assertEquals(2, fixture.holders.statements.getLast().term());
    }

    @Test
    void shouldReturnMajorityLostAtDeadlineWhenMajorityStaysLost() {
      fixture.holders.onExecute = statement -> fault(ResultCode.MAJORITY_LOST);
      Answer answer = fixture.coordinator.execute(fixture.write(Optional.empty()));
      assertEquals(ResultCode.MAJORITY_LOST, answer.code());
      assertEquals(CoordinatorFixture.TIMEOUT_MS, fixture.clock.monotonicMs());
    }

    @Test
    void shouldRefuseAtOnceWhenRefusalIsFinal() {
      fixture.holders.onExecute = statement -> fault(ResultCode.QUEUE_FULL);
      Answer answer = fixture.coordinator.execute(fixture.write(Optional.empty()));
      assertEquals(ResultCode.QUEUE_FULL, answer.code());
      assertEquals(0, fixture.clock.monotonicMs());
    }
  }

  @Nested
  class WithKey {
    @Test
    void shouldRetryWithSameKeyWhenOutcomeIsUnknown() {
      fixture.holders.onExecute =
          CoordinatorFixture.script(fault(ResultCode.UNKNOWN_OUTCOME), done());
      Answer answer = fixture.coordinator.execute(fixture.write(Optional.of(fixture.key())));
      assertEquals(ResultCode.DONE, answer.code());
      assertEquals(2, fixture.holders.statements.size());
      assertEquals(Optional.of(fixture.key().text()), fixture.holders.statements.getLast().key());
    }

    @Test
    void shouldReturnOutcomeUnknownWhenAnEarlierAttemptIsUnknown() {
      fixture.holders.onExecute =
          CoordinatorFixture.script(
              fault(ResultCode.UNKNOWN_OUTCOME), fault(ResultCode.MAJORITY_LOST));
      Answer answer = fixture.coordinator.execute(fixture.write(Optional.of(fixture.key())));
      assertEquals(Outcome.OUTCOME_UNKNOWN, answer.code().outcome());
      assertEquals(1, fixture.coordinator.settler().size());
    }

    @Test
    void shouldCancelKeyWhenRetryIsPermanentlyRefused() {
      fixture.holders.onExecute =
          CoordinatorFixture.script(
              fault(ResultCode.UNKNOWN_OUTCOME), fault(ResultCode.QUEUE_FULL));
      fixture.holders.onOutcome = query -> CoordinatorFixture.state(KeyAnswer.State.CANCELLED);
      Answer answer = fixture.coordinator.execute(fixture.write(Optional.of(fixture.key())));
      assertEquals(ResultCode.CANCELLED, answer.code());
      assertTrue(fixture.holders.queries.getFirst().cancelIfAbsent());
    }

    @Test
    void shouldReturnRecordedRowsWhenRetryIsRefusedAndFirstAttemptHadRun() {
      fixture.holders.onExecute =
          CoordinatorFixture.script(
              fault(ResultCode.UNKNOWN_OUTCOME), fault(ResultCode.QUEUE_FULL));
      fixture.holders.onOutcome = query -> CoordinatorFixture.state(KeyAnswer.State.RECORDED);
      Answer answer = fixture.coordinator.execute(fixture.write(Optional.of(fixture.key())));
      assertEquals(ResultCode.DONE, answer.code());
      assertEquals(List.of("old"), answer.rows());
      assertTrue(answer.replayed());
    }

    @Test
    void shouldRefuseWithoutDispatchWhenKeyIsExpired() {
      fixture.holders.onExecute = statement -> done();
      fixture.clock.advanceMs(CallerLimits.defaults().retention().maxAgeMs() + 1);
      StatementCall call =
          fixture.write(
              Optional.of(
                  new IdempotencyKey(
                      fixture.key().text(), fixture.clock.wallMs() - fixture.clock.monotonicMs())));
      assertEquals(ResultCode.KEY_EXPIRED, fixture.coordinator.execute(call).code());
      assertTrue(fixture.holders.statements.isEmpty());
    }
  }

  @Nested
  class Settle {
    @Test
    void shouldKeepKeyQueuedWhenLedgerDoesNotAnswer() {
      fixture.holders.onExecute = statement -> fault(ResultCode.UNKNOWN_OUTCOME);
      fixture.coordinator.execute(fixture.write(Optional.of(fixture.key())));
      fixture.coordinator.settler().settle();
      assertEquals(1, fixture.coordinator.settler().size());
      fixture.holders.onOutcome = query -> CoordinatorFixture.state(KeyAnswer.State.RECORDED);
      fixture.coordinator.settler().settle();
      assertEquals(0, fixture.coordinator.settler().size());
      assertTrue(fixture.holders.queries.getLast().cancelIfAbsent());
    }
  }

  @Nested
  class Failures {
    @Test
    void shouldReturnInternalUnknownWhenHoldersThrow() {
      fixture.holders.onExecute =
          statement -> {
            throw new IllegalStateException("scripted");
          };
      Answer answer = fixture.coordinator.execute(fixture.write(Optional.of(fixture.key())));
      assertEquals(ResultCode.INTERNAL_UNKNOWN, answer.code());
      assertEquals(0, fixture.coordinator.inFlight().size());
      assertEquals(1, fixture.coordinator.settler().size());
    }

    @Test
    void shouldRefuseWhenShuttingDown() {
      fixture.coordinator.inFlight().stopAdmission();
      Answer answer = fixture.coordinator.execute(fixture.write(Optional.empty()));
      assertEquals(ResultCode.SHUTTING_DOWN, answer.code());
      assertEquals(
          List.of(new FaultCounts.Count(CoordinatorFixture.SERVICE, ResultCode.SHUTTING_DOWN, 1)),
          fixture.coordinator.faultCounts().counts());
    }
  }
}
