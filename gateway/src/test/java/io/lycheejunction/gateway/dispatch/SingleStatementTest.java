package io.lycheejunction.gateway.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.dispatch.DispatchFixture.RecordedOutcome;
import io.lycheejunction.gateway.link.FakeLinks.FakeLink;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.route.ReadRule;
import io.lycheejunction.gateway.route.ServiceLimits;
import io.lycheejunction.gateway.target.Targets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SingleStatementTest {
  private static final ReadRule LATEST = new ReadRule.Latest();
  private static final ReadRule AGED = new ReadRule.Aged(1_500);

  private final DispatchFixture fixture = new DispatchFixture();

  private static boolean isBegin(TargetCommand command) {
    return command instanceof TargetCommand.Run run
        && run.statement() instanceof CallerStatement.Begin;
  }

  private static boolean isReadOfCaller(TargetCommand command) {
    return command instanceof TargetCommand.Run run
        && run.requestId().equals(Optional.of("r-1"))
        && run.statement() instanceof CallerStatement.Read;
  }

  @Test
  void shouldReadFromReplicaInSameFailureDomainWithFloorWhenPositionIsProven() {
    fixture.recordProvenPosition(1, 7);

    RecordedOutcome outcome = fixture.run(AGED, DispatchFixture.read());
    FakeLink link = fixture.links.last("i-2").greet();
    TargetCommand.Run sent = (TargetCommand.Run) link.unanswered().getFirst();
    assertEquals(Optional.of(new LogPosition(1, 7)), sent.after());

    link.done(TransactionState.NONE, 1, 8);
    assertTrue(outcome.isDone());
  }

  @Test
  void shouldTryAnotherTargetWhenReplicaLags() {
    fixture.recordProvenPosition(1, 7);
    RecordedOutcome outcome = fixture.run(AGED, DispatchFixture.read());

    fixture.links.last("i-2").greet().fault(ResultCode.NOT_FRESH, TransactionState.NONE);
    fixture.links.last("i-3").greet().done(TransactionState.NONE, 1, 8);

    assertTrue(outcome.isDone());
  }

  @Test
  void shouldReadInsideTransactionOnPrimaryWhenNoPositionIsProven() {
    final RecordedOutcome outcome = fixture.run(AGED, DispatchFixture.read());

    FakeLink link = fixture.links.last("i-1").greet();
    assertEquals(1, link.unanswered().size());
    assertTrue(isBegin(link.done(TransactionState.OPEN, 1, 9)));
    assertTrue(isReadOfCaller(link.done(TransactionState.OPEN, 1, 9)));
    assertTrue(outcome.isDone());
    assertEquals(
        Optional.of(new LogPosition(1, 9)),
        fixture.positions.of("ledger").floor(fixture.scheduler.nowMs(), 1_000, LogPosition.ORIGIN));
  }

  @Test
  void shouldNotSendLatestReadWhenTargetIsNoLongerPrimary() {
    RecordedOutcome outcome = fixture.run(LATEST, DispatchFixture.read());

    FakeLink link = fixture.links.last("i-1").greet();
    link.fault(ResultCode.NOT_PRIMARY, TransactionState.NONE);

    assertTrue(link.unanswered().stream().noneMatch(SingleStatementTest::isReadOfCaller));
    assertEquals(ResultCode.NOT_PRIMARY, outcome.fault().code());
  }

  @Test
  void shouldNotResendWriteWhenItsConnectionCloses() {
    RecordedOutcome outcome = fixture.run(LATEST, DispatchFixture.write());
    FakeLink link = fixture.links.last("i-1").greet();

    link.drop();
    fixture.scheduler.advanceMs(5_000);

    assertEquals(ResultCode.UNKNOWN_OUTCOME, outcome.fault().code());
    assertEquals(1, fixture.links.opened().size());
  }

  @Test
  void shouldCloseConnectionAndReportUnknownOutcomeWhenWriteTimesOut() {
    RecordedOutcome outcome = fixture.run(LATEST, DispatchFixture.write());
    FakeLink link = fixture.links.last("i-1").greet();

    fixture.scheduler.advanceMs(DispatchFixture.TIMEOUT_MS);

    assertEquals(ResultCode.UNKNOWN_OUTCOME, outcome.fault().code());
    assertTrue(link.isClosed());
  }

  @Test
  void shouldReportFaultOfTargetWhenWriteFails() {
    RecordedOutcome outcome = fixture.run(LATEST, DispatchFixture.write());

    fixture.links.last("i-1").greet().fault(ResultCode.STATEMENT_FAILED, TransactionState.NONE);

    assertEquals(ResultCode.STATEMENT_FAILED, outcome.fault().code());
  }

  @Test
  void shouldTryAnotherTargetWhenReadFails() {
    fixture.recordProvenPosition(1, 7);
    RecordedOutcome outcome = fixture.run(AGED, DispatchFixture.read());

    fixture.links.last("i-2").greet().fault(ResultCode.STATEMENT_FAILED, TransactionState.NONE);
    fixture.links.last("i-3").greet().done(TransactionState.NONE, 1, 8);

    assertTrue(outcome.isDone());
  }

  @Test
  void shouldHedgeReadWhenFirstTargetIsOverdue() {
    fixture.recordProvenPosition(1, 7);
    RecordedOutcome outcome = fixture.run(AGED, DispatchFixture.read());
    final FakeLink slow = fixture.links.last("i-2").greet();

    fixture.scheduler.advanceMs(200);
    fixture.links.last("i-3").greet().done(TransactionState.NONE, 1, 8);
    assertTrue(outcome.isDone());

    slow.done(TransactionState.NONE, 1, 8);
    assertTrue(outcome.isDone());
    assertFalse(slow.isClosed());
  }

  @Test
  void shouldRefuseAtOnceWithRetryAfterWhenNoPrimaryIsExpectedInTime() {
    fixture.targets.update(List.of());
    fixture.scheduler.advanceMs(Targets.DROP_AFTER_MS);

    Fault fault = fixture.run(LATEST, DispatchFixture.write()).fault();

    assertEquals(ResultCode.NO_PRIMARY, fault.code());
    assertTrue(fault.retryAfterMs() >= PrimaryGate.INITIAL_PROMOTION_MS);
  }

  @Test
  void shouldWaitForPrimaryWhenPromotionIsAboutToEnd() {
    final RecordedOutcome outcome = fixture.run(LATEST, DispatchFixture.write());
    fixture.gate.onPromotionOrdered("ledger");
    fixture.scheduler.advanceMs(400);
    fixture.links.last("i-1").greet().fault(ResultCode.NOT_PRIMARY, TransactionState.NONE);
    assertEquals(ResultCode.NOT_PRIMARY, outcome.fault().code());

    fixture.scheduler.advanceMs(500);
    RecordedOutcome waiting = fixture.run(LATEST, DispatchFixture.write());
    assertTrue(waiting.isPending());

    fixture.targets.find("i-2").orElseThrow().recordPrimary(2);
    fixture.gate.releaseWaiting("ledger");
    fixture.links.last("i-2").greet().done(TransactionState.NONE, 2, 8);
    assertTrue(waiting.isDone());
  }

  /** Guards against the reuse of connections whose network path has failed without a reset. */
  @Test
  void shouldCloseOtherIdleConnectionsWhenOneDoesNotAnswer() {
    fixture.targets.divideConnections(Map.of("ledger", new ServiceLimits(55, 1)), 3);
    fixture.run(LATEST, DispatchFixture.write());
    fixture.run(LATEST, DispatchFixture.write());
    for (FakeLink link : List.copyOf(fixture.links.opened())) {
      link.greet();
    }
    for (FakeLink link : fixture.links.opened()) {
      link.done(TransactionState.NONE, 1, 5);
    }

    fixture.run(LATEST, DispatchFixture.read());
    fixture.scheduler.advanceMs(DispatchContext.BEGIN_TIMEOUT_MS);

    assertTrue(fixture.links.opened().stream().allMatch(FakeLink::isClosed));
  }

  @Test
  void shouldReportUnreachableTargetWhenPrimaryDoesNotBeginTransaction() {
    RecordedOutcome outcome = fixture.run(LATEST, DispatchFixture.read());
    FakeLink link = fixture.links.last("i-1").greet();

    fixture.scheduler.advanceMs(DispatchContext.BEGIN_TIMEOUT_MS);

    assertTrue(link.isClosed());
    assertEquals(ResultCode.TARGET_UNREACHABLE, outcome.fault().code());
  }
}
