package io.lycheejunction.proxy.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.session.SessionToken;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.holder.KeyAnswer;
import io.lycheejunction.proxy.holder.TransactionId;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against a wrong outcome of a commit whose reply was lost or that the caller repeats, and
 * against a begin that fails while a failover is in progress.
 */
class CoordinatorTransactionTest {
  private final CoordinatorFixture fixture = new CoordinatorFixture();

  private TransactionCall step() {
    return new TransactionCall(
        CoordinatorFixture.SERVICE,
        "vm-a:1",
        SessionToken.newSession(),
        CoordinatorFixture.TIMEOUT_MS);
  }

  private Answer commit() {
    return fixture.coordinator.commit(step(), Optional.of(fixture.key()));
  }

  @Nested
  class Begin {
    private final BeginCall call =
        new BeginCall(
            CoordinatorFixture.SERVICE, SessionToken.empty(), 1_000, CoordinatorFixture.TIMEOUT_MS);

    @Test
    void shouldReturnTransactionIdWhenBegun() {
      assertEquals(Optional.of("vm-a:1"), fixture.coordinator.begin(call).transaction());
    }

    @Test
    void shouldWaitForNewPrimaryWhenNoneIsKnown() {
      fixture.watch.set(
          new GroupView(CoordinatorFixture.GROUP, 1, Optional.empty(), LogPosition.ORIGIN));
      fixture.clock.scheduleAfterMs(500, () -> fixture.watch.set(CoordinatorFixture.NEXT_VIEW));
      fixture.holders.onBegin = start -> Result.success(new TransactionId("vm-a:" + start.term()));
      assertEquals(Optional.of("vm-a:2"), fixture.coordinator.begin(call).transaction());
    }
  }

  @Nested
  class Commit {
    @Test
    void shouldReturnCommitPositionWhenDone() {
      LogPosition position = new LogPosition(1, 12);
      fixture.holders.onStep =
          step -> CoordinatorFixture.answered("t1", position, CoordinatorFixture.VIEW);
      assertEquals(Optional.of(position), commit().session().floor(CoordinatorFixture.GROUP));
    }

    @Test
    void shouldReturnRecordedOutcomeWhenReplyIsLost() {
      fixture.holders.onStep = step -> CoordinatorFixture.fault(ResultCode.UNKNOWN_OUTCOME);
      fixture.holders.onOutcome = query -> CoordinatorFixture.state(KeyAnswer.State.RECORDED);
      Answer answer = commit();
      assertEquals(ResultCode.DONE, answer.code());
      assertTrue(answer.replayed());
      assertEquals(1, fixture.holders.steps.size());
    }

    @Test
    void shouldCancelWhenReplyIsLostAndLedgerHasNoRecord() {
      fixture.holders.onStep = step -> CoordinatorFixture.fault(ResultCode.UNKNOWN_OUTCOME);
      fixture.holders.onOutcome =
          query ->
              CoordinatorFixture.state(
                  query.cancelIfAbsent() ? KeyAnswer.State.CANCELLED : KeyAnswer.State.ABSENT);
      assertEquals(ResultCode.CANCELLED, commit().code());
      assertFalse(fixture.holders.queries.getFirst().cancelIfAbsent());
    }

    @Test
    void shouldReturnRecordedOutcomeWhenCommitIsRepeated() {
      fixture.holders.onOutcome = query -> CoordinatorFixture.state(KeyAnswer.State.RECORDED);
      assertEquals(ResultCode.DONE, commit().code());
    }

    @Test
    void shouldReturnUnknownOutcomeWhenTransactionIsUnknownAndLedgerIsUnreachable() {
      assertEquals(ResultCode.UNKNOWN_OUTCOME, commit().code());
      assertEquals(1, fixture.coordinator.settler().size());
    }

    @Test
    void shouldRefuseWhenTransactionIsUnknownAndKeyIsMissing() {
      Answer answer = fixture.coordinator.commit(step(), Optional.empty());
      assertEquals(ResultCode.UNKNOWN_TRANSACTION, answer.code());
    }
  }

  @Nested
  class Outcome {
    @Test
    void shouldReturnCommitPositionWhenRecorded() {
      fixture.holders.onOutcome = query -> CoordinatorFixture.state(KeyAnswer.State.RECORDED);
      Answer answer =
          fixture.coordinator.outcome(
              CoordinatorFixture.SERVICE, fixture.key(), SessionToken.newSession(), 1_000);
      assertEquals(
          Optional.of(new LogPosition(2, 3)), answer.session().floor(CoordinatorFixture.GROUP));
    }

    @Test
    void shouldReturnOutcomeUnknownWhenNoRecordExists() {
      fixture.holders.onOutcome = query -> CoordinatorFixture.state(KeyAnswer.State.ABSENT);
      Answer answer =
          fixture.coordinator.outcome(
              CoordinatorFixture.SERVICE, fixture.key(), SessionToken.empty(), 1_000);
      assertEquals(ResultCode.KEY_NOT_FOUND, answer.code());
      assertEquals(io.lycheejunction.core.result.Outcome.OUTCOME_UNKNOWN, answer.code().outcome());
    }
  }
}
