package io.lycheejunction.gateway.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.dispatch.DispatchFixture.RecordedOutcome;
import io.lycheejunction.gateway.holder.Holder;
import io.lycheejunction.gateway.holder.HolderTargets;
import io.lycheejunction.gateway.link.FakeLinks.FakeLink;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.route.ReadRule;
import io.lycheejunction.gateway.route.Route;
import io.lycheejunction.gateway.route.RouteTable;
import io.lycheejunction.gateway.target.Endpoint;
import io.lycheejunction.gateway.target.TestTargets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards the forwarding of statements by a VM without connections to targets, which happens where
 * targets accept fewer connections than there are VMs.
 */
class ForwardingTest {
  private static final String NEAR = "vm-near/" + TestTargets.SERVICE;
  private static final String FAR = "vm-far/" + TestTargets.SERVICE;
  private static final Route ROUTE =
      new Route("db", TestTargets.SERVICE, new ReadRule.Latest(), 1_000, 200, 1);

  private static final Fault UNREACHABLE =
      Fault.of(ResultCode.TARGET_UNREACHABLE, "no answer from the holder");

  private final DispatchFixture fixture = new DispatchFixture();

  private static Holder holder(String vm, String failureDomain) {
    Endpoint endpoint = new Endpoint("10.0.0.9", 7_441);
    return new Holder(vm, failureDomain, endpoint, endpoint);
  }

  @BeforeEach
  void forward() {
    HolderTargets.update(
        fixture.holders,
        List.of(holder("vm-near", "domain-i-2"), holder("vm-far", "domain-i-1")),
        new RouteTable(1, 1, Map.of("db", ROUTE), Map.of(), 0));
    fixture.role.forward();
  }

  private TargetCommand.Run firstCommand(String id) {
    FakeLink link = fixture.links.last(id);
    return assertInstanceOf(TargetCommand.Run.class, link.greet().unanswered().getFirst());
  }

  @Test
  void shouldSendRouteWithStatementToHolderWhenHolderIsInSameFailureDomain() {
    fixture.run(new ReadRule.Latest(), DispatchFixture.read());

    TargetCommand.Run run = firstCommand(NEAR);
    assertEquals(DispatchFixture.read(), run.statement());
    assertEquals(new ReadRule.Latest(), run.route().orElseThrow().readRule());
  }

  /** The VM need not know the primary, since the holder finds it. */
  @Test
  void shouldSendWriteToNearestHolderWhenVmForwards() {
    fixture.run(new ReadRule.Latest(), DispatchFixture.write());

    assertEquals(DispatchFixture.write(), firstCommand(NEAR).statement());
  }

  @Test
  void shouldSendCommitPositionOfSessionWhenReadsMustSeeOwnWrites() {
    fixture.run(new ReadRule.OwnWrites(2_500), DispatchFixture.read());

    assertEquals(Optional.of(LogPosition.ORIGIN), firstCommand(NEAR).after());
  }

  /** Guards against a failed write when a holder shuts down and refuses statements as not run. */
  @Test
  void shouldTryAnotherHolderWhenFirstHolderIsShuttingDown() {
    final DispatchFixture.RecordedOutcome outcome =
        fixture.run(new ReadRule.Latest(), DispatchFixture.write());
    fixture.links.last(NEAR).greet().fault(ResultCode.SHUTTING_DOWN, TransactionState.NONE);

    fixture.links.last(FAR).greet().done(TransactionState.NONE, 1, 5);

    assertTrue(outcome.isDone());
  }

  /**
   * Guards against extra load during an overload: the holder has already tried all targets, and
   * other holders would only try them again.
   */
  @Test
  void shouldRefuseAtOnceWhenHolderReportsBusyTarget() {
    final DispatchFixture.RecordedOutcome outcome =
        fixture.run(new ReadRule.Latest(), DispatchFixture.read());

    fixture.links.last(NEAR).greet().fault(ResultCode.TARGET_BUSY, TransactionState.NONE);

    assertEquals(ResultCode.TARGET_BUSY, outcome.fault().code());
    assertTrue(fixture.links.to(FAR).isEmpty());
  }

  /** Guards against a failed write when a holder has lost power and its address does not answer. */
  @Test
  void shouldTryAnotherHolderWhenNoConnectionOpensInTime() {
    final DispatchFixture.RecordedOutcome outcome =
        fixture.run(new ReadRule.Latest(), DispatchFixture.write());

    fixture.scheduler.advanceMs(260);
    fixture.links.last(FAR).greet().done(TransactionState.NONE, 1, 5);

    assertTrue(outcome.isDone());
  }

  /** Guards against a repeated write when a holder is killed after it has received the write. */
  @Test
  void shouldNotResendWriteWhenConnectionToHolderIsLostAfterSending() {
    final DispatchFixture.RecordedOutcome outcome =
        fixture.run(new ReadRule.Latest(), DispatchFixture.write());
    fixture.links.last(NEAR).greet().drop();

    assertEquals(ResultCode.UNKNOWN_OUTCOME, outcome.fault().code());
    assertTrue(fixture.links.to(FAR).isEmpty());
  }

  @Test
  void shouldForwardReadOnlyFlagWhenTransactionBeginsAtHolder() {
    Transaction transaction = new Transaction(fixture.dispatch, ROUTE, true);
    transaction.run(
        DispatchFixture.request(new ReadRule.Latest(), DispatchFixture.read()),
        new DispatchFixture.RecordedOutcome());

    assertEquals(new CallerStatement.Begin(true), firstCommand(NEAR).statement());
  }

  /**
   * Guards against statements that wait for the holders of other failure domains until their time
   * limit, when this VM is cut off together with a holder that has no primary.
   */
  @Test
  void shouldRefuseAtOnceWhenTheOtherHolderWasJustUnreachable() {
    fixture.run(new ReadRule.Latest(), DispatchFixture.write());
    fixture.links.last(NEAR).greet().fault(ResultCode.NO_PRIMARY, TransactionState.NONE);
    fixture.scheduler.advanceMs(250);
    fixture.holders.find(FAR).orElseThrow().connectFailed(UNREACHABLE, fixture.scheduler.nowMs());

    RecordedOutcome second = fixture.run(new ReadRule.Latest(), DispatchFixture.write());
    fixture.links.last(NEAR).fault(ResultCode.NO_PRIMARY, TransactionState.NONE);

    assertEquals(ResultCode.NO_PRIMARY, second.fault().code());
    assertTrue(second.fault().retryAfterMs() > 0);
  }

  /** Guards against a holder that is never used again after it was unreachable. */
  @Test
  void shouldTryUnreachableHolderAgainWhenSomeTimeHasPassed() {
    fixture.holders.find(FAR).orElseThrow().recordRequest(fixture.scheduler.nowMs());
    fixture.holders.find(FAR).orElseThrow().connectFailed(UNREACHABLE, fixture.scheduler.nowMs());
    fixture.scheduler.advanceMs(600);

    fixture.run(new ReadRule.Latest(), DispatchFixture.write());
    fixture.links.last(NEAR).greet().fault(ResultCode.NO_PRIMARY, TransactionState.NONE);

    assertFalse(fixture.links.to(FAR).isEmpty());
  }

  /**
   * Guards against a write with an unknown outcome that has not run: a holder that waits for a
   * primary has to refuse it before this VM gives up.
   */
  @Test
  void shouldSendRemainingTimeWithStatementWhenPartOfItHasPassed() {
    fixture.run(new ReadRule.Latest(), DispatchFixture.write());
    fixture.scheduler.advanceMs(100);

    TargetCommand.Run run = firstCommand(NEAR);

    long timeLimitMs = run.route().orElseThrow().statementTimeoutMs();
    assertTrue(timeLimitMs < DispatchFixture.TIMEOUT_MS - 100, "time limit " + timeLimitMs);
    assertTrue(timeLimitMs > DispatchFixture.TIMEOUT_MS - 200, "time limit " + timeLimitMs);
  }
}
