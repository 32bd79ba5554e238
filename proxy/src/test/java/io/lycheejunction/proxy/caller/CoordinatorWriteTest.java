package io.lycheejunction.proxy.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.key.IdempotencyKey;
import io.lycheejunction.core.result.Outcome;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.holder.HeldAnswer;
import io.lycheejunction.proxy.holder.KeyAnswer;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CoordinatorWriteTest {
  private static final LogPosition COMMIT = new LogPosition(2, 2);
  private final CoordinatorFixture f = new CoordinatorFixture();

  private Result<HeldAnswer> done() {
    return CoordinatorFixture.answered("t2", COMMIT, CoordinatorFixture.NEXT_VIEW);
  }

  private static Result<HeldAnswer> fault(ResultCode code) {
    return CoordinatorFixture.fault(code);
  }

  @Nested
  class WithoutKey {
    @Test
    void shouldAnswerCommitPositionWhenDone() {
      f.holders.onExecute = s -> done();
      Answer answer = f.coordinator.execute(f.write(Optional.empty()));
      assertEquals(ResultCode.DONE, answer.code());
      assertEquals(List.of("row"), answer.rows());
      assertEquals(Optional.of(COMMIT), answer.session().floor(CoordinatorFixture.GROUP));
    }

    @Test
    void shouldDispatchOnceWhenOutcomeIsUnknown() {
      f.holders.onExecute = s -> fault(ResultCode.UNKNOWN_OUTCOME);
      Answer answer = f.coordinator.execute(f.write(Optional.empty()));
      assertEquals(ResultCode.UNKNOWN_OUTCOME, answer.code());
      assertEquals(1, f.holders.statements.size());
      assertEquals(0, f.clock.monotonicMs());
    }

    @Test
    void shouldWaitForNewPrimaryWhenOldOneIsGone() {
      f.clock.afterMs(700, () -> f.watch.set(CoordinatorFixture.NEXT_VIEW));
      f.holders.onExecute =
          s -> s.target().equals("t2") ? done() : fault(ResultCode.TARGET_UNREACHABLE);
      Answer answer = f.coordinator.execute(f.write(Optional.empty()));
      assertEquals(ResultCode.DONE, answer.code());
      assertEquals(2, f.holders.statements.getLast().term());
    }

    @Test
    void shouldGiveTrueRefusalAtDeadlineWhenMajorityStaysLost() {
      f.holders.onExecute = s -> fault(ResultCode.MAJORITY_LOST);
      Answer answer = f.coordinator.execute(f.write(Optional.empty()));
      assertEquals(ResultCode.MAJORITY_LOST, answer.code());
      assertEquals(CoordinatorFixture.TIMEOUT_MS, f.clock.monotonicMs());
    }

    @Test
    void shouldRefuseAtOnceWhenRefusalIsFinal() {
      f.holders.onExecute = s -> fault(ResultCode.QUEUE_FULL);
      Answer answer = f.coordinator.execute(f.write(Optional.empty()));
      assertEquals(ResultCode.QUEUE_FULL, answer.code());
      assertEquals(0, f.clock.monotonicMs());
    }
  }

  @Nested
  class WithKey {
    @Test
    void shouldResendWithSameKeyWhenOutcomeIsUnknown() {
      f.holders.onExecute = CoordinatorFixture.script(fault(ResultCode.UNKNOWN_OUTCOME), done());
      Answer answer = f.coordinator.execute(f.write(Optional.of(f.key())));
      assertEquals(ResultCode.DONE, answer.code());
      assertEquals(2, f.holders.statements.size());
      assertEquals(Optional.of(f.key().text()), f.holders.statements.getLast().key());
    }

    @Test
    void shouldNotSayNotRunWhenAnEarlierAttemptIsUnknown() {
      f.holders.onExecute =
          CoordinatorFixture.script(
              fault(ResultCode.UNKNOWN_OUTCOME), fault(ResultCode.MAJORITY_LOST));
      Answer answer = f.coordinator.execute(f.write(Optional.of(f.key())));
      assertEquals(Outcome.OUTCOME_UNKNOWN, answer.code().outcome());
      assertEquals(1, f.coordinator.settler().size());
    }

    @Test
    void shouldCancelKeyWhenResendIsRefusedForGood() {
      f.holders.onExecute =
          CoordinatorFixture.script(
              fault(ResultCode.UNKNOWN_OUTCOME), fault(ResultCode.QUEUE_FULL));
      f.holders.onOutcome = q -> CoordinatorFixture.state(KeyAnswer.State.CANCELLED);
      Answer answer = f.coordinator.execute(f.write(Optional.of(f.key())));
      assertEquals(ResultCode.CANCELLED, answer.code());
      assertTrue(f.holders.queries.getFirst().cancelIfAbsent());
    }

    @Test
    void shouldAnswerRecordedRowsWhenRefusedResendHadRun() {
      f.holders.onExecute =
          CoordinatorFixture.script(
              fault(ResultCode.UNKNOWN_OUTCOME), fault(ResultCode.QUEUE_FULL));
      f.holders.onOutcome = q -> CoordinatorFixture.state(KeyAnswer.State.RECORDED);
      Answer answer = f.coordinator.execute(f.write(Optional.of(f.key())));
      assertEquals(ResultCode.DONE, answer.code());
      assertEquals(List.of("old"), answer.rows());
      assertTrue(answer.replayed());
    }

    @Test
    void shouldRefuseWithoutDispatchWhenKeyIsExpired() {
      f.holders.onExecute = s -> done();
      f.clock.advanceMs(CallerLimits.defaults().retention().maxAgeMs() + 1);
      StatementCall call =
          f.write(
              Optional.of(
                  new IdempotencyKey(f.key().text(), f.clock.wallMs() - f.clock.monotonicMs())));
      assertEquals(ResultCode.KEY_EXPIRED, f.coordinator.execute(call).code());
      assertTrue(f.holders.statements.isEmpty());
    }
  }

  @Nested
  class Settle {
    @Test
    void shouldKeepKeyUntilLedgerAnswers() {
      f.holders.onExecute = s -> fault(ResultCode.UNKNOWN_OUTCOME);
      f.coordinator.execute(f.write(Optional.of(f.key())));
      f.coordinator.settler().settle();
      assertEquals(1, f.coordinator.settler().size());
      f.holders.onOutcome = q -> CoordinatorFixture.state(KeyAnswer.State.RECORDED);
      f.coordinator.settler().settle();
      assertEquals(0, f.coordinator.settler().size());
      assertTrue(f.holders.queries.getLast().cancelIfAbsent());
    }
  }

  @Nested
  class Failures {
    @Test
    void shouldSayUnknownWhenHoldersThrow() {
      f.holders.onExecute =
          s -> {
            throw new IllegalStateException("scripted");
          };
      Answer answer = f.coordinator.execute(f.write(Optional.of(f.key())));
      assertEquals(ResultCode.INTERNAL_UNKNOWN, answer.code());
      assertEquals(0, f.coordinator.inFlight().size());
      assertEquals(1, f.coordinator.settler().size());
    }

    @Test
    void shouldRefuseWhenShuttingDown() {
      f.coordinator.inFlight().close();
      Answer answer = f.coordinator.execute(f.write(Optional.empty()));
      assertEquals(ResultCode.SHUTTING_DOWN, answer.code());
      assertEquals(
          List.of(new Refusals.Count(CoordinatorFixture.SERVICE, ResultCode.SHUTTING_DOWN, 1)),
          f.coordinator.refusals().counts());
    }
  }
}
