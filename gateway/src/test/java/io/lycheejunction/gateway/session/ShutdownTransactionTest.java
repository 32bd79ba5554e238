package io.lycheejunction.gateway.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.gateway.dispatch.DispatchFixture;
import io.lycheejunction.gateway.link.FakeLinks.FakeLink;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.route.ReadRule;
import io.lycheejunction.gateway.route.Route;
import io.lycheejunction.gateway.route.RouteTable;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Failure: a transaction whose statement was running when the time for open transactions was over
 * was never ended. It went on until the process exited, in the middle of a later statement.
 */
class ShutdownTransactionTest {
  private static final CallerStatement WRITE = new CallerStatement.Write("x 1");
  private static final Route ROUTE =
      new Route("db", "ledger", new ReadRule.Latest(), DispatchFixture.TIMEOUT_MS, 200, 1);

  private final DispatchFixture fixture = new DispatchFixture();
  private final Gateway gateway = new Gateway(fixture.dispatch);
  private final RecordingCallerLink caller = new RecordingCallerLink();
  private final CallerSession session;

  ShutdownTransactionTest() {
    gateway.apply(new RouteTable(1, 1, Map.of("db", ROUTE), Map.of(), 3_000));
    session = gateway.open(caller, "db", Credential.none()).orElseThrow();
  }

  private FakeLink target() {
    return fixture.links.last("i-1");
  }

  private void beginAndWrite() {
    session.query("1", new CallerStatement.Begin(false));
    session.query("2", WRITE);
    target().greet().done(TransactionState.OPEN, 1, 5);
    target().done(TransactionState.OPEN, 1, 5);
  }

  @Test
  void shouldEndTheTransactionOnceItsRunningStatementIsAnswered() {
    beginAndWrite();
    gateway.drainSessions();
    session.query("3", WRITE);
    gateway.endTransactions();

    target().done(TransactionState.OPEN, 1, 5);
    assertEquals("done OPEN", caller.lastReply());
    session.query("4", WRITE);

    assertEquals("ROLLED_BACK FAILED", caller.lastReply());
    TargetCommand.Run sentLast = (TargetCommand.Run) target().unanswered().getLast();
    assertEquals(new CallerStatement.Rollback(), sentLast.statement());
  }

  /** The next statement was queued, so it followed the running one without a pause. */
  @Test
  void shouldNotRunQueuedStatementsOfTheTransaction() {
    beginAndWrite();
    session.query("3", WRITE);
    session.query("4", WRITE);
    gateway.endTransactions();

    target().done(TransactionState.OPEN, 1, 5);

    assertEquals("ROLLED_BACK FAILED", caller.lastReply());
  }

  @Test
  void shouldCommitWhenTheCommitIsRunningAtTheEndOfTheTime() {
    beginAndWrite();
    gateway.drainSessions();
    session.query("3", new CallerStatement.Commit());
    gateway.endTransactions();

    target().done(TransactionState.NONE, 1, 6);

    assertEquals("done NONE", caller.lastReply());
    assertTrue(caller.closed);
  }

  @Test
  void shouldCloseTheSessionOnceItsCallerHasEndedTheTransaction() {
    beginAndWrite();
    gateway.drainSessions();
    gateway.endTransactions();
    assertFalse(caller.closed);

    session.query("3", new CallerStatement.Rollback());

    assertEquals("done NONE", caller.lastReply());
    assertTrue(caller.closed);
  }

  /** Callers may still connect until the platform has noticed that this VM accepts none. */
  @Test
  void shouldRefuseWorkOfSessionsThatWereOpenedDuringTheShutdown() {
    gateway.drainSessions();
    RecordingCallerLink late = new RecordingCallerLink();
    CallerSession opened = gateway.open(late, "db", Credential.none()).orElseThrow();
    gateway.endTransactions();

    opened.query("1", new CallerStatement.Begin(false));

    assertEquals("SHUTTING_DOWN NONE", late.lastReply());
    assertTrue(late.closed);
    assertTrue(fixture.links.to("i-1").isEmpty());
  }

  @Test
  void shouldRejectSessionsOnceNoWorkIsAccepted() {
    gateway.endTransactions();
    RecordingCallerLink late = new RecordingCallerLink();

    assertTrue(gateway.open(late, "db", Credential.none()).isEmpty());
    assertEquals("rejected SHUTTING_DOWN", late.lastReply());
  }

  @Test
  void shouldEndForwardedTransactionOnceItsRunningStatementIsAnswered() {
    RecordingCallerLink vm = new RecordingCallerLink();
    CallerSession forwarded = gateway.openForwarded(vm, "ledger");
    ForwardedContext context = new ForwardedContext(Optional.empty(), ROUTE, Optional.empty());
    forwarded.query("1", new CallerStatement.Begin(false), context);
    forwarded.query("2", WRITE, context);
    target().greet().done(TransactionState.OPEN, 1, 5);
    gateway.endTransactions();

    target().done(TransactionState.OPEN, 1, 5);
    forwarded.query("3", WRITE, context);

    assertEquals("ROLLED_BACK FAILED", vm.lastReply());
  }
}
