package io.lycheejunction.gateway.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.term.LogPosition;
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
        new RouteTable(1, Map.of("db", ROUTE), Map.of(), 0));
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
}
