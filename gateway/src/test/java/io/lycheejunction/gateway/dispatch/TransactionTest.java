package io.lycheejunction.gateway.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.dispatch.DispatchFixture.Ending;
import io.lycheejunction.gateway.link.FakeLinks.FakeLink;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.route.ReadRule;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class TransactionTest {
  private static final ReadRule LATEST = new ReadRule.Latest();
  private static final ReadRule AGED = new ReadRule.Aged(1_500);

  private final DispatchFixture fixture = new DispatchFixture();

  private Transaction begin(ReadRule rule, boolean readOnly) {
    Work work = DispatchFixture.work(rule, DispatchFixture.read());
    return new Transaction(fixture.dispatch, work.route(), readOnly);
  }

  private static Ending run(Transaction transaction, CallerStatement statement) {
    Ending ending = new Ending();
    transaction.run(DispatchFixture.work(LATEST, statement), ending);
    return ending;
  }

  private FakeLink openWithWrite(Transaction transaction) {
    run(transaction, DispatchFixture.write());
    FakeLink link = fixture.links.last("i-1").greet();
    link.done(TransactionState.OPEN, 1, 5);
    link.done(TransactionState.OPEN, 1, 5);
    return link;
  }

  @Test
  void shouldSendTheStatementOnlyAfterTheBeginningIsConfirmed() {
    run(begin(LATEST, false), DispatchFixture.write());

    FakeLink link = fixture.links.last("i-1").greet();
    assertEquals(1, link.sent().size());
    link.done(TransactionState.OPEN, 1, 5);
    assertEquals(1, link.sent().size());
  }

  @Test
  void shouldStayOnOneConnectionUntilItsEnd() {
    Transaction transaction = begin(LATEST, false);
    FakeLink link = openWithWrite(transaction);

    Ending ending = run(transaction, new CallerStatement.Commit());
    link.done(TransactionState.NONE, 1, 6);

    assertTrue(ending.isDone());
    assertEquals(1, fixture.links.opened().size());
  }

  @Test
  void shouldBeginAtReplicaWithFloorWhenItOnlyReadsAgedData() {
    fixture.prove(1, 7);
    run(begin(AGED, true), DispatchFixture.read());

    TargetCommand.Run sent =
        (TargetCommand.Run) fixture.links.last("i-2").greet().sent().getFirst();
    assertEquals(new CallerStatement.Begin(true), sent.statement());
    assertEquals(Optional.of(new LogPosition(1, 7)), sent.after());
  }

  @Test
  void shouldBeginPlainlyAtThePrimaryWhenReadOnlyTransactionNeedsTheLatestData() {
    run(begin(LATEST, true), DispatchFixture.read());

    TargetCommand.Run sent =
        (TargetCommand.Run) fixture.links.last("i-1").greet().sent().getFirst();
    assertEquals(new CallerStatement.Begin(false), sent.statement());
  }

  @Test
  void shouldSayRolledBackWhenItsConnectionEndsBeforeTheCommit() {
    Transaction transaction = begin(LATEST, false);
    FakeLink link = openWithWrite(transaction);
    Ending ending = run(transaction, DispatchFixture.read());

    link.drop();

    assertEquals(ResultCode.ROLLED_BACK, ending.fault().code());
    assertTrue(transaction.isFailed());
  }

  @Test
  void shouldLeaveTheOutcomeOpenWhenTheCommitIsNotAnswered() {
    Transaction transaction = begin(LATEST, false);
    FakeLink link = openWithWrite(transaction);
    Ending ending = run(transaction, new CallerStatement.Commit());

    link.drop();

    assertEquals(ResultCode.UNKNOWN_OUTCOME, ending.fault().code());
    assertEquals(1, fixture.links.opened().size());
  }

  @Test
  void shouldRollBackAndKeepTheConnectionWhenItsCallerLeavesBetweenStatements() {
    Transaction transaction = begin(LATEST, false);
    FakeLink link = openWithWrite(transaction);

    transaction.rollBack();

    TargetCommand.Run sent = (TargetCommand.Run) link.sent().getFirst();
    assertEquals(new CallerStatement.Rollback(), sent.statement());
    assertFalse(link.isClosed());
  }

  @Test
  void shouldLetTheStatementEndBeforeRollingBackWhenItsCallerLeaves() {
    Transaction transaction = begin(LATEST, false);
    final FakeLink link = openWithWrite(transaction);
    Ending ending = run(transaction, DispatchFixture.write());

    transaction.rollBack();
    link.done(TransactionState.OPEN, 1, 5);

    assertTrue(ending.isOpen());
    TargetCommand.Run sent = (TargetCommand.Run) link.sent().getFirst();
    assertEquals(new CallerStatement.Rollback(), sent.statement());
  }

  @Test
  void shouldFreeItsConnectionWhenItExpiresIdle() {
    Transaction transaction = begin(LATEST, false);
    FakeLink link = openWithWrite(transaction);

    transaction.expire();

    assertTrue(transaction.isFailed());
    assertEquals(1, link.sent().size());
  }

  @Test
  void shouldNotBeginForCallerThatLeftWhileNoPrimaryWasKnown() {
    Transaction transaction = begin(LATEST, false);
    fixture.gate.ordered("ledger");
    fixture.scheduler.advanceMs(900);
    run(transaction, DispatchFixture.write());
    fixture.links.last("i-1").greet().fault(ResultCode.NOT_PRIMARY, TransactionState.NONE);

    transaction.rollBack();
    fixture.targets.find("i-2").orElseThrow().leads(2);
    fixture.gate.open("ledger");

    assertTrue(fixture.links.to("i-2").isEmpty());
  }
}
