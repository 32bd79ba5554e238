package io.lycheejunction.gateway.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.dispatch.DispatchFixture.RecordedOutcome;
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

  private Transaction newTransaction(ReadRule rule, boolean readOnly) {
    StatementRequest request = DispatchFixture.request(rule, DispatchFixture.read());
    return new Transaction(fixture.dispatch, request.route(), readOnly);
  }

  private static RecordedOutcome run(Transaction transaction, CallerStatement statement) {
    RecordedOutcome outcome = new RecordedOutcome();
    transaction.run(DispatchFixture.request(LATEST, statement), outcome);
    return outcome;
  }

  private FakeLink openWithWrite(Transaction transaction) {
    run(transaction, DispatchFixture.write());
    FakeLink link = fixture.links.last("i-1").greet();
    link.done(TransactionState.OPEN, 1, 5);
    link.done(TransactionState.OPEN, 1, 5);
    return link;
  }

  @Test
  void shouldSendStatementOnlyWhenBeginIsConfirmed() {
    run(newTransaction(LATEST, false), DispatchFixture.write());

    FakeLink link = fixture.links.last("i-1").greet();
    assertEquals(1, link.unanswered().size());
    link.done(TransactionState.OPEN, 1, 5);
    assertEquals(1, link.unanswered().size());
  }

  @Test
  void shouldUseSameConnectionWhenStatementsFollow() {
    Transaction transaction = newTransaction(LATEST, false);
    FakeLink link = openWithWrite(transaction);

    RecordedOutcome outcome = run(transaction, new CallerStatement.Commit());
    link.done(TransactionState.NONE, 1, 6);

    assertTrue(outcome.isDone());
    assertEquals(1, fixture.links.opened().size());
  }

  @Test
  void shouldBeginOnReplicaWithFloorWhenReadOnlyTransactionAcceptsAgedData() {
    fixture.recordProvenPosition(1, 7);
    run(newTransaction(AGED, true), DispatchFixture.read());

    TargetCommand.Run sent =
        (TargetCommand.Run) fixture.links.last("i-2").greet().unanswered().getFirst();
    assertEquals(new CallerStatement.Begin(true), sent.statement());
    assertEquals(Optional.of(new LogPosition(1, 7)), sent.after());
  }

  @Test
  void shouldBeginReadWriteOnPrimaryWhenReadOnlyTransactionNeedsLatestData() {
    run(newTransaction(LATEST, true), DispatchFixture.read());

    TargetCommand.Run sent =
        (TargetCommand.Run) fixture.links.last("i-1").greet().unanswered().getFirst();
    assertEquals(new CallerStatement.Begin(false), sent.statement());
  }

  @Test
  void shouldReportRolledBackWhenConnectionClosesBeforeCommit() {
    Transaction transaction = newTransaction(LATEST, false);
    FakeLink link = openWithWrite(transaction);
    RecordedOutcome outcome = run(transaction, DispatchFixture.read());

    link.drop();

    assertEquals(ResultCode.ROLLED_BACK, outcome.fault().code());
    assertTrue(transaction.isFailed());
  }

  @Test
  void shouldReportUnknownOutcomeWhenConnectionClosesBeforeCommitIsAnswered() {
    Transaction transaction = newTransaction(LATEST, false);
    FakeLink link = openWithWrite(transaction);
    RecordedOutcome outcome = run(transaction, new CallerStatement.Commit());

    link.drop();

    assertEquals(ResultCode.UNKNOWN_OUTCOME, outcome.fault().code());
    assertEquals(1, fixture.links.opened().size());
  }

  /**
   * Connections go silent several at once. After a statement of a transaction was not answered, the
   * next statements waited for the other silent connections until their time limit.
   */
  @Test
  void shouldCloseIdleConnectionsWhenStatementIsNotAnswered() {
    Transaction transaction = newTransaction(LATEST, false);
    openWithWrite(transaction);
    fixture.run(LATEST, DispatchFixture.write());
    FakeLink idle = fixture.links.last("i-1").greet();
    idle.done(TransactionState.NONE, 1, 6);
    assertFalse(idle.isClosed());

    RecordedOutcome outcome = run(transaction, DispatchFixture.read());
    fixture.scheduler.advanceMs(DispatchFixture.TIMEOUT_MS);

    assertEquals(ResultCode.STATEMENT_TIMEOUT, outcome.fault().code());
    assertTrue(idle.isClosed());
  }

  @Test
  void shouldRollBackAndKeepConnectionWhenCallerDisconnectsBetweenStatements() {
    Transaction transaction = newTransaction(LATEST, false);
    FakeLink link = openWithWrite(transaction);

    transaction.rollBack();

    TargetCommand.Run sent = (TargetCommand.Run) link.unanswered().getFirst();
    assertEquals(new CallerStatement.Rollback(), sent.statement());
    assertFalse(link.isClosed());
  }

  @Test
  void shouldFinishStatementBeforeRollbackWhenCallerDisconnects() {
    Transaction transaction = newTransaction(LATEST, false);
    final FakeLink link = openWithWrite(transaction);
    RecordedOutcome outcome = run(transaction, DispatchFixture.write());

    transaction.rollBack();
    link.done(TransactionState.OPEN, 1, 5);

    assertTrue(outcome.isPending());
    TargetCommand.Run sent = (TargetCommand.Run) link.unanswered().getFirst();
    assertEquals(new CallerStatement.Rollback(), sent.statement());
  }

  @Test
  void shouldFreeConnectionWhenIdleTransactionExpires() {
    Transaction transaction = newTransaction(LATEST, false);
    FakeLink link = openWithWrite(transaction);

    transaction.expire();

    assertTrue(transaction.isFailed());
    assertEquals(1, link.unanswered().size());
  }

  @Test
  void shouldNotBeginWhenCallerDisconnectedWhileNoPrimaryWasKnown() {
    Transaction transaction = newTransaction(LATEST, false);
    fixture.gate.onPromotionOrdered("ledger");
    fixture.scheduler.advanceMs(900);
    run(transaction, DispatchFixture.write());
    fixture.links.last("i-1").greet().fault(ResultCode.NOT_PRIMARY, TransactionState.NONE);

    transaction.rollBack();
    fixture.targets.find("i-2").orElseThrow().recordPrimary(2);
    fixture.gate.releaseWaiting("ledger");

    assertTrue(fixture.links.to("i-2").isEmpty());
  }
}
