package io.lycheejunction.gateway.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.gateway.dispatch.DispatchFixture;
import io.lycheejunction.gateway.route.ReadRule;
import io.lycheejunction.gateway.route.Route;
import io.lycheejunction.gateway.route.RouteTable;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against statements that run although the caller takes no answers. */
class CongestedSessionTest {
  private static final long IDLE_TRANSACTION_MS = 3_000;

  private final DispatchFixture fixture = new DispatchFixture();
  private final RecordingCallerLink caller = new RecordingCallerLink();
  private final CallerSession session;

  CongestedSessionTest() {
    Route route =
        new Route("db", "ledger", new ReadRule.Latest(), DispatchFixture.TIMEOUT_MS, 200, 1);
    Gateway gateway = new Gateway(fixture.dispatch);
    gateway.apply(new RouteTable(1, 1, Map.of("db", route), Map.of(), IDLE_TRANSACTION_MS));
    session = gateway.open(caller, "db", Credential.none()).orElseThrow();
  }

  private void set(String value) {
    session.query("1", new CallerStatement.SetVariable("name", value));
  }

  @Test
  void shouldRunStatementsInOrderOnceTheAnswersAreTaken() {
    caller.congested = true;
    set("a");
    set("b");
    assertEquals(1, caller.replies.size());

    caller.congested = false;
    session.resume();

    assertEquals(3, caller.replies.size());
    assertEquals(5, caller.stateBytes);
  }

  @Test
  void shouldCloseSessionWhenTooManyStatementsWaitForTheAnswersToBeTaken() {
    caller.congested = true;
    for (int i = 0; i <= CallerSession.MAX_QUEUED_STATEMENTS; i++) {
      set("a");
    }

    assertTrue(caller.closed);
  }

  /** A caller that takes no answers must not keep a connection of a target. */
  @Test
  void shouldEndTransactionWhenTheAnswersAreNotTaken() {
    session.query("1", new CallerStatement.Begin(true));
    caller.congested = true;
    set("a");
    fixture.scheduler.advanceMs(IDLE_TRANSACTION_MS);

    caller.congested = false;
    session.resume();
    session.query("2", new CallerStatement.Read("x"));

    assertTrue(caller.replies.contains("ROLLED_BACK FAILED"), caller.replies.toString());
  }
}
