package io.lycheejunction.gateway.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.statement.PreparedStatement;
import io.lycheejunction.gateway.dispatch.DispatchFixture;
import io.lycheejunction.gateway.link.FakeLinks.FakeLink;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.route.ReadRule;
import io.lycheejunction.gateway.route.Route;
import io.lycheejunction.gateway.route.RouteTable;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class CallerSessionTest {

  private static final long IDLE_TRANSACTION_MS = 3_000;

  private final DispatchFixture fixture = new DispatchFixture();
  private final Gateway gateway = new Gateway(fixture.dispatch);
  private final RecordingCallerLink caller = new RecordingCallerLink();
  private final CallerSession session;

  CallerSessionTest() {
    gateway.apply(table(1, "db"));
    session = gateway.open(caller, "db", Credential.none()).orElseThrow();
  }

  private static RouteTable table(long version, String database) {
    Route route =
        new Route(database, "ledger", new ReadRule.Latest(), DispatchFixture.TIMEOUT_MS, 200, 1);
    return new RouteTable(version, version, Map.of(database, route), Map.of(), IDLE_TRANSACTION_MS);
  }

  private static CallerStatement write() {
    return new CallerStatement.Write("x 1");
  }

  private void beginAndWrite() {
    session.query("1", new CallerStatement.Begin(false));
    session.query("2", write());
    FakeLink link = fixture.links.last("i-1").greet();
    link.done(TransactionState.OPEN, 1, 5);
    link.done(TransactionState.OPEN, 1, 5);
  }

  @Test
  void shouldRejectSessionWhenTheDatabaseHasNoRoute() {
    RecordingCallerLink other = new RecordingCallerLink();

    assertTrue(gateway.open(other, "unknown", Credential.none()).isEmpty());
    assertEquals("rejected UNKNOWN_SERVICE", other.lastReply());
  }

  @Test
  void shouldAcceptWaitingSessionWhenTheFirstConfigurationArrives() {
    Gateway unconfigured = new Gateway(fixture.dispatch);
    RecordingCallerLink waitingCaller = new RecordingCallerLink();

    unconfigured.open(waitingCaller, "db", Credential.none());
    assertTrue(waitingCaller.replies.isEmpty());
    unconfigured.apply(table(1, "db"));

    assertEquals("accepted", waitingCaller.lastReply());
  }

  @Test
  void shouldRejectWaitingSessionWhenNoConfigurationArrives() {
    Gateway unconfigured = new Gateway(fixture.dispatch);
    RecordingCallerLink waitingCaller = new RecordingCallerLink();
    unconfigured.open(waitingCaller, "db", Credential.none());

    fixture.scheduler.advanceMs(1_500);

    assertEquals("rejected NO_PRIMARY", waitingCaller.lastReply());
  }

  @Test
  void shouldKeepTheConfigurationWhenAnOlderOneArrives() {
    gateway.apply(table(5, "newer"));

    assertFalse(gateway.apply(table(4, "db")));
    assertTrue(gateway.routes().routeOf("newer").isPresent());
  }

  @Test
  void shouldRefuseStatementsWhenTheRouteWasRemoved() {
    gateway.apply(table(5, "newer"));

    session.query("1", write());

    assertEquals("UNKNOWN_SERVICE NONE", caller.lastReply());
  }

  @Test
  void shouldKeepTheRouteOfTheTransactionWhenItIsRemovedMeanwhile() {
    beginAndWrite();
    gateway.apply(table(5, "newer"));

    session.query("3", new CallerStatement.Commit());
    fixture.links.last("i-1").done(TransactionState.NONE, 1, 6);

    assertEquals("done NONE", caller.lastReply());
  }

  @Test
  void shouldAnswerInOrderWhenStatementsArriveAtOnce() {
    session.query("1", write());
    session.query("2", new CallerStatement.SetVariable("a", "1"));
    assertEquals(List.of("accepted"), caller.replies);

    fixture.links.last("i-1").greet().done(TransactionState.NONE, 1, 5);

    assertEquals(List.of("accepted", "done NONE", "done NONE"), caller.replies);
  }

  @Test
  void shouldRefuseExecutionWhenTheNameIsNotPrepared() {
    session.query("1", new CallerStatement.Execute("s", "x"));

    assertEquals("UNKNOWN_PREPARED NONE", caller.lastReply());
  }

  @Test
  void shouldPrepareOnTheConnectionWhenPreparedStatementRuns() {
    session.query("1", new CallerStatement.Prepare("s", new PreparedStatement(true, "q")));
    session.query("2", new CallerStatement.Execute("s", "x 1"));

    List<TargetCommand> sent = fixture.links.last("i-1").greet().unanswered();
    TargetCommand.Run prepare = (TargetCommand.Run) sent.getFirst();
    TargetCommand.Run execute = (TargetCommand.Run) sent.getLast();
    assertEquals(
        new CallerStatement.Prepare("p0", new PreparedStatement(true, "q")), prepare.statement());
    assertEquals(new CallerStatement.Execute("p0", "x 1"), execute.statement());
  }

  @Test
  void shouldAcceptOnlyItsEndWhenTheTransactionHasFailed() {
    beginAndWrite();
    session.query("3", write());
    fixture.links.last("i-1").fault(ResultCode.NOT_PRIMARY, TransactionState.FAILED);
    assertEquals("NOT_PRIMARY FAILED", caller.lastReply());

    session.query("4", write());
    assertEquals("TRANSACTION_FAILED FAILED", caller.lastReply());

    session.query("5", new CallerStatement.Commit());
    assertEquals("ROLLED_BACK NONE", caller.lastReply());
  }

  @Test
  void shouldReportTheRollbackWithTheNextStatementWhenTheTransactionWasIdle() {
    beginAndWrite();

    fixture.scheduler.advanceMs(IDLE_TRANSACTION_MS);
    session.query("3", write());

    assertEquals("ROLLED_BACK FAILED", caller.lastReply());
  }

  @Test
  void shouldCloseSessionsOnlyOnceTheyAreIdleWhenShuttingDown() {
    beginAndWrite();
    gateway.drainSessions();
    assertFalse(caller.closed);

    session.query("3", new CallerStatement.Commit());
    fixture.links.last("i-1").done(TransactionState.NONE, 1, 6);

    assertTrue(caller.closed);
    assertEquals("done NONE", caller.lastReply());
  }
}
