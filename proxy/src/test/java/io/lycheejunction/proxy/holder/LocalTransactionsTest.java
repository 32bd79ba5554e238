package io.lycheejunction.proxy.holder;

import static io.lycheejunction.proxy.holder.HolderFixture.code;
import static io.lycheejunction.proxy.holder.HolderFixture.start;
import static io.lycheejunction.proxy.holder.HolderFixture.step;
import static io.lycheejunction.proxy.holder.HolderFixture.value;
import static io.lycheejunction.proxy.holder.HolderFixture.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.holder.TransactionStep.Kind;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests the start, steps and expiry of transactions.
 *
 * <p>Guards against a wrong answer to a commit that was repeated, lost its reply or came after a
 * rollback, and against connections that stay open after their transaction has ended.
 */
class LocalTransactionsTest {
  private final HolderFixture fixture = new HolderFixture();
  private final FakeTargets targets = fixture.targets;

  private TransactionId begin() {
    return value(fixture.holder1.beginTransaction(start()));
  }

  @Nested
  class Begin {
    @Test
    void shouldKeepConnectionsForSingleStatementsWhenTransactionsReachTheirLimit() {
      fixture.holder1.rebalance();
      fixture.clock.advanceMs(5_000);
      fixture.holder1.rebalance();
      int transactions = HolderFixture.CONNECTIONS - HolderFixture.SLOTS;
      for (int i = 0; i < transactions; i++) {
        begin();
      }
      Result<TransactionId> refused = fixture.holder1.beginTransaction(start());
      assertEquals(Optional.of(ResultCode.DEADLINE_EXCEEDED), code(refused));
      value(fixture.holder1.execute(write("t1")));
    }

    @Test
    void shouldCloseConnectionWhenStartHasNoAnswer() {
      targets.beginReply = new TargetReply.Unknown("lost");
      assertEquals(
          Optional.of(ResultCode.ROLLED_BACK), code(fixture.holder1.beginTransaction(start())));
      assertEquals(0, targets.openConnections);
    }
  }

  @Nested
  class Step {
    @Test
    void shouldCommitWhenStepsAreForwardedByAnotherProxy() {
      TransactionId id = begin();
      value(fixture.holder2.executeStep(step(id, Kind.STATEMENT)));
      value(fixture.holder2.executeStep(step(id, Kind.COMMIT)));
      assertEquals(List.of("begin", "s", "commit"), targets.executed);
    }

    @Test
    void shouldRefuseWhenServiceDiffers() {
      TransactionStep step = step(begin(), Kind.COMMIT);
      TransactionStep other = new TransactionStep(step.id(), "payments", step.action(), 1_000);
      assertEquals(
          Optional.of(ResultCode.UNKNOWN_TRANSACTION), code(fixture.holder1.executeStep(other)));
    }

    @Test
    void shouldRollBackWhenPrimaryWasReplaced() {
      TransactionId id = begin();
      fixture.watch.termFault = Fault.of(ResultCode.NOT_PRIMARY, "replaced");
      assertEquals(
          Optional.of(ResultCode.ROLLED_BACK),
          code(fixture.holder1.executeStep(step(id, Kind.STATEMENT))));
      assertEquals(0, targets.openConnections);
    }

    @Test
    void shouldRollBackWhenStatementHasNoAnswer() {
      TransactionId id = begin();
      targets.executeReply = request -> new TargetReply.Unknown("lost");
      assertEquals(
          Optional.of(ResultCode.ROLLED_BACK),
          code(fixture.holder1.executeStep(step(id, Kind.STATEMENT))));
      assertEquals(
          Optional.of(ResultCode.ROLLED_BACK),
          code(fixture.holder1.executeStep(step(id, Kind.COMMIT))));
      assertFalse(targets.executed.contains("commit"));
    }

    @Test
    void shouldReturnUnknownOutcomeWhenCommitReplyIsLost() {
      TransactionId id = begin();
      targets.commitReply = new TargetReply.Unknown("lost");
      assertEquals(
          Optional.of(ResultCode.UNKNOWN_OUTCOME),
          code(fixture.holder1.executeStep(step(id, Kind.COMMIT))));
      assertEquals(
          Optional.of(ResultCode.UNKNOWN_OUTCOME),
          code(fixture.holder1.executeStep(step(id, Kind.COMMIT))));
      assertEquals(0, targets.openConnections);
    }

    @Test
    void shouldReturnSameAnswerWhenCommitIsRepeated() {
      TransactionId id = begin();
      targets.commitReply = new TargetReply.Answered(List.of(), new LogPosition(1, 11), false);
      value(fixture.holder1.executeStep(step(id, Kind.COMMIT)));
      HolderAnswer again = value(fixture.holder1.executeStep(step(id, Kind.COMMIT)));
      assertEquals(new LogPosition(1, 11), again.position());
      assertEquals(List.of("begin", "commit"), targets.executed);
    }

    @Test
    void shouldReturnUnknownOutcomeWhenCommitHasNoCachedOutcome() {
      TransactionId id = new TransactionId("vm1:0123456789abcdef0123456789abcdef");
      assertEquals(
          Optional.of(ResultCode.UNKNOWN_OUTCOME),
          code(fixture.holder1.executeStep(step(id, Kind.COMMIT))));
      assertEquals(
          Optional.of(ResultCode.UNKNOWN_TRANSACTION),
          code(fixture.holder1.executeStep(step(id, Kind.STATEMENT))));
    }

    @Test
    void shouldRefuseWhenIdentifierIsMalformed() {
      TransactionId id = new TransactionId("nowhere:garbage");
      assertEquals(
          Optional.of(ResultCode.UNKNOWN_TRANSACTION),
          code(fixture.holder1.executeStep(step(id, Kind.COMMIT))));
    }

    @Test
    void shouldFinishWhenPoolHasMovedToAnotherProxy() {
      fixture.holder1.rebalance();
      TransactionId id = begin();
      fixture.liveForHolder1.removeFirst();
      fixture.holder1.rebalance();
      value(fixture.holder1.executeStep(step(id, Kind.COMMIT)));
      assertEquals(0, targets.openConnections);
    }
  }

  @Nested
  class Expire {
    @Test
    void shouldRollBackWhenIdleLimitIsReached() {
      TransactionId id = begin();
      fixture.clock.advanceMs(5_000);
      fixture.holder1.rebalance();
      assertEquals(
          Optional.of(ResultCode.ROLLED_BACK),
          code(fixture.holder1.executeStep(step(id, Kind.COMMIT))));
    }
  }
}
