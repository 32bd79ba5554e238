package io.lycheejunction.gateway.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.dispatch.DispatchFixture;
import io.lycheejunction.gateway.link.FakeLinks.FakeLink;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.route.ReadRule;
import io.lycheejunction.gateway.route.Route;
import io.lycheejunction.gateway.target.TestTargets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Covers sessions in which VMs without connections to targets forward statements to this VM. */
class ForwardedSessionTest {

  private static final CallerStatement WRITE = new CallerStatement.Write("x 1");

  private final DispatchFixture fixture = new DispatchFixture();
  private final Gateway gateway = new Gateway(fixture.dispatch);
  private final RecordingCallerLink vm = new RecordingCallerLink();
  private final CallerSession session = gateway.openForwarded(vm, TestTargets.SERVICE);

  private static ForwardedContext forwarded(ReadRule rule, Optional<LogPosition> commit) {
    return new ForwardedContext(
        Optional.empty(), new Route("db", TestTargets.SERVICE, rule, 1_000, 200, 1), commit);
  }

  private static ForwardedContext latest() {
    return forwarded(new ReadRule.Latest(), Optional.empty());
  }

  @Test
  void shouldUseTheForwardedRouteWhenTheVmHasNoConfiguration() {
    session.query("1", WRITE, latest());

    fixture.links.last("i-1").greet().done(TransactionState.NONE, 1, 5);

    assertEquals(List.of("accepted", "done NONE"), vm.replies);
  }

  @Test
  void shouldReadAfterTheSessionCommitWhenItIsForwarded() {
    fixture.recordProvenPosition(1, 3);

    session.query(
        "1",
        DispatchFixture.read(),
        forwarded(new ReadRule.OwnWrites(2_500), Optional.of(new LogPosition(1, 9))));

    TargetCommand.Run run =
        (TargetCommand.Run) fixture.links.last("i-2").greet().unanswered().getFirst();
    assertEquals(Optional.of(new LogPosition(1, 9)), run.after());
  }

  /** Guards against mixing sessions that use the same connection between VMs in turn. */
  @Test
  void shouldIgnoreTheEarlierCommitWhenTheConnectionServesAnotherSession() {
    fixture.recordProvenPosition(1, 3);
    session.query(
        "1",
        DispatchFixture.read(),
        forwarded(new ReadRule.OwnWrites(2_500), Optional.of(new LogPosition(1, 9))));
    FakeLink link = fixture.links.last("i-2").greet();
    link.done(TransactionState.NONE, 1, 9);

    session.query(
        "2",
        DispatchFixture.read(),
        forwarded(new ReadRule.OwnWrites(2_500), Optional.of(LogPosition.ORIGIN)));

    assertEquals(
        Optional.of(new LogPosition(1, 3)),
        ((TargetCommand.Run) link.unanswered().getFirst()).after());
  }

  /** Guards against failed statements on shutdown: a refused one can be retried on another VM. */
  @Test
  void shouldRefuseNewStatementsWhenTheVmStops() {
    gateway.refuseForwarded();

    session.query("1", WRITE, latest());

    assertEquals("SHUTTING_DOWN NONE", vm.replies.getLast());
    assertTrue(fixture.links.to("i-1").isEmpty());
  }

  /** Guards against forwarding loops when a holder has lost its slot and others don't know yet. */
  @Test
  void shouldRefuseForwardedStatementsWhenTheVmForwardsItself() {
    fixture.role.forward();

    session.query("1", WRITE, latest());

    assertEquals("SHUTTING_DOWN NONE", vm.replies.getLast());
  }

  @Test
  void shouldFinishTheOpenTransactionWhenTheVmStops() {
    session.query("1", new CallerStatement.Begin(false), latest());
    session.query("2", WRITE, latest());
    FakeLink link = fixture.links.last("i-1").greet();
    link.done(TransactionState.OPEN, 1, 5);
    link.done(TransactionState.OPEN, 1, 5);
    gateway.refuseForwarded();
    assertFalse(gateway.isDrained());

    session.query("3", new CallerStatement.Commit(), latest());
    link.done(TransactionState.NONE, 1, 6);

    assertEquals("done NONE", vm.replies.getLast());
    assertTrue(gateway.isDrained());
  }

  @Test
  void shouldClearSessionVariablesWhenTheConnectionServesAnotherSession() {
    session.query("1", new CallerStatement.SetVariable("user", "alice"));
    session.reset();

    session.query("2", WRITE, latest());

    assertEquals(1, fixture.links.last("i-1").greet().unanswered().size());
  }
}
