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

class LocalTransactionsTest {
  private final HolderFixture fixture = new HolderFixture();
  private final FakeTargets targets = fixture.targets;

  private TransactionId begin() {
    return value(fixture.first.begin(start()));
  }

  @Nested
  class Begin {
    @Test
    void shouldKeepRoomForSingleStatementsWhenTransactionsUseTheirShare() {
      fixture.first.rebalance();
      fixture.clock.advanceMs(5_000);
      fixture.first.rebalance();
      int transactions = HolderFixture.CONNECTIONS - HolderFixture.SLOTS;
      for (int i = 0; i < transactions; i++) {
        begin();
      }
      Result<TransactionId> refused = fixture.first.begin(start());
      assertEquals(Optional.of(ResultCode.DEADLINE_EXCEEDED), code(refused));
      value(fixture.first.execute(write("t1")));
    }

    @Test
    void shouldCloseConnectionWhenStartHasNoAnswer() {
      targets.beginReply = new TargetReply.Unknown("lost");
      assertEquals(Optional.of(ResultCode.ROLLED_BACK), code(fixture.first.begin(start())));
      assertEquals(0, targets.open);
    }
  }

  @Nested
  class Step {
    @Test
    void shouldCommitThroughAnotherProxy() {
      TransactionId id = begin();
      value(fixture.second.step(step(id, Kind.STATEMENT)));
      value(fixture.second.step(step(id, Kind.COMMIT)));
      assertEquals(List.of("begin", "s", "commit"), targets.executed);
    }

    @Test
    void shouldRefuseWhenServiceDiffers() {
      TransactionStep step = step(begin(), Kind.COMMIT);
      TransactionStep other = new TransactionStep(step.id(), "payments", step.action(), 1_000);
      assertEquals(Optional.of(ResultCode.UNKNOWN_TRANSACTION), code(fixture.first.step(other)));
    }

    @Test
    void shouldRollBackWhenPrimaryWasReplaced() {
      TransactionId id = begin();
      fixture.watch.termFault = Fault.of(ResultCode.NOT_PRIMARY, "replaced");
      assertEquals(
          Optional.of(ResultCode.ROLLED_BACK), code(fixture.first.step(step(id, Kind.STATEMENT))));
      assertEquals(0, targets.open);
    }

    @Test
    void shouldRollBackWhenStatementHasNoAnswer() {
      TransactionId id = begin();
      targets.script = request -> new TargetReply.Unknown("lost");
      assertEquals(
          Optional.of(ResultCode.ROLLED_BACK), code(fixture.first.step(step(id, Kind.STATEMENT))));
      assertEquals(
          Optional.of(ResultCode.ROLLED_BACK), code(fixture.first.step(step(id, Kind.COMMIT))));
      assertFalse(targets.executed.contains("commit"));
    }

    @Test
    void shouldStayUnknownWhenCommitReplyIsLost() {
      TransactionId id = begin();
      targets.commitReply = new TargetReply.Unknown("lost");
      assertEquals(
          Optional.of(ResultCode.UNKNOWN_OUTCOME), code(fixture.first.step(step(id, Kind.COMMIT))));
      assertEquals(
          Optional.of(ResultCode.UNKNOWN_OUTCOME), code(fixture.first.step(step(id, Kind.COMMIT))));
      assertEquals(0, targets.open);
    }

    @Test
    void shouldRepeatAnswerWhenCommitIsRepeated() {
      TransactionId id = begin();
      targets.commitReply = new TargetReply.Answered(List.of(), new LogPosition(1, 11), false);
      value(fixture.first.step(step(id, Kind.COMMIT)));
      HeldAnswer again = value(fixture.first.step(step(id, Kind.COMMIT)));
      assertEquals(new LogPosition(1, 11), again.position());
      assertEquals(List.of("begin", "commit"), targets.executed);
    }

    @Test
    void shouldStayUnknownWhenForgottenTransactionIsCommitted() {
      TransactionId id = new TransactionId("vm1:0123456789abcdef0123456789abcdef");
      assertEquals(
          Optional.of(ResultCode.UNKNOWN_OUTCOME), code(fixture.first.step(step(id, Kind.COMMIT))));
      assertEquals(
          Optional.of(ResultCode.UNKNOWN_TRANSACTION),
          code(fixture.first.step(step(id, Kind.STATEMENT))));
    }

    @Test
    void shouldRefuseWhenIdentifierIsGarbage() {
      TransactionId id = new TransactionId("nowhere:garbage");
      assertEquals(
          Optional.of(ResultCode.UNKNOWN_TRANSACTION),
          code(fixture.first.step(step(id, Kind.COMMIT))));
    }

    @Test
    void shouldFinishWhenPoolHasMovedToAnotherProxy() {
      fixture.first.rebalance();
      TransactionId id = begin();
      fixture.live.removeFirst();
      fixture.first.rebalance();
      value(fixture.first.step(step(id, Kind.COMMIT)));
      assertEquals(0, targets.open);
    }
  }

  @Nested
  class Expire {
    @Test
    void shouldRollBackWhenIdleForTooLong() {
      TransactionId id = begin();
      fixture.clock.advanceMs(5_000);
      fixture.first.rebalance();
      assertEquals(
          Optional.of(ResultCode.ROLLED_BACK), code(fixture.first.step(step(id, Kind.COMMIT))));
    }
  }
}
