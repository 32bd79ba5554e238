package io.lycheejunction.gateway.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.gateway.dispatch.DispatchFixture;
import io.lycheejunction.gateway.link.FakeLinks.FakeLink;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.organisation.Organisation;
import io.lycheejunction.gateway.organisation.Organisations;
import io.lycheejunction.gateway.route.ReadRule;
import io.lycheejunction.gateway.route.Route;
import io.lycheejunction.gateway.route.RouteTable;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against statements that run for a key that is unknown, or that was withdrawn meanwhile.
 */
class OrganisationSessionTest {
  private static final Organisation ACME = new Organisation("acme", 1, Optional.empty());
  private static final String LONG_KEY = "k".repeat(Credential.MAX_KEY_BYTES + 1);

  private final DispatchFixture fixture = new DispatchFixture();
  private final Gateway gateway = new Gateway(fixture.dispatch);
  private final RecordingCallerLink caller = new RecordingCallerLink();

  OrganisationSessionTest() {
    gateway.apply(table(1, "key-1", "key-2"));
  }

  private static RouteTable table(long version, String... keys) {
    return new RouteTable(
        version,
        version,
        Map.of("db", route("db", true), "open", route("open", false)),
        Map.of(),
        0,
        Organisations.of(Map.of(ACME, List.of(keys))));
  }

  private static Route route(String database, boolean keyRequired) {
    return new Route(
        database, "ledger", new ReadRule.Latest(), DispatchFixture.TIMEOUT_MS, 200, 1, keyRequired);
  }

  private CallerSession open(String key) {
    return gateway.open(caller, "db", new Credential(key)).orElseThrow();
  }

  private FakeLink lastLink() {
    return fixture.links.last("i-1");
  }

  @ParameterizedTest
  @CsvSource({"'',NO_CREDENTIAL", "other,WRONG_CREDENTIAL", "'key-1 ',WRONG_CREDENTIAL"})
  void shouldRejectTheSessionWhenTheKeyIsNotOfAnOrganisation(String key, String code) {
    assertTrue(gateway.open(caller, "db", new Credential(key)).isEmpty());

    assertEquals("rejected " + code, caller.lastReply());
  }

  @Test
  void shouldRejectTheSessionWhenTheKeyIsTooLong() {
    assertTrue(gateway.open(caller, "db", new Credential(LONG_KEY)).isEmpty());

    assertEquals("rejected WRONG_CREDENTIAL", caller.lastReply());
  }

  @Test
  void shouldAcceptTheSessionWhenTheRouteRequiresNoKey() {
    assertTrue(gateway.open(caller, "open", Credential.none()).isPresent());
  }

  @Test
  void shouldCheckTheKeyOfWaitingSessionsWhenTheFirstConfigurationArrives() {
    Gateway unconfigured = new Gateway(fixture.dispatch);
    unconfigured.open(caller, "db", new Credential("other"));
    assertFalse(caller.closed);

    unconfigured.apply(table(1, "key-1"));

    assertEquals("rejected WRONG_CREDENTIAL", caller.lastReply());
  }

  @Test
  void shouldCloseTheSessionWhenItsKeyIsWithdrawnWhileItIsIdle() {
    open("key-1");

    gateway.apply(table(2, "key-2"));

    assertTrue(caller.closed);
    assertEquals(0, gateway.sessionCount());
  }

  @Test
  void shouldKeepTheSessionWhenAnotherKeyIsWithdrawn() {
    open("key-1");

    gateway.apply(table(2, "key-1"));

    assertFalse(caller.closed);
  }

  @Test
  void shouldAnswerTheRunningStatementBeforeTheSessionEnds() {
    CallerSession session = open("key-1");
    session.query("1", new CallerStatement.Write("x 1"));
    session.query("2", new CallerStatement.Write("x 2"));
    FakeLink link = lastLink().greet();

    gateway.apply(table(2, "key-2"));
    assertFalse(caller.closed);
    link.done(TransactionState.NONE, 1, 5);

    assertEquals("done NONE", caller.lastReply());
    assertTrue(caller.closed);
    assertTrue(link.unanswered().isEmpty(), "the queued statement must not run");
  }

  @Test
  void shouldRollBackTheTransactionWhenTheKeyIsWithdrawn() {
    CallerSession session = open("key-1");
    session.query("1", new CallerStatement.Begin(false));
    session.query("2", new CallerStatement.Write("x 1"));
    FakeLink link = lastLink().greet();
    link.done(TransactionState.OPEN, 1, 5);
    link.done(TransactionState.OPEN, 1, 5);

    gateway.apply(table(2, "key-2"));

    assertTrue(caller.closed);
    assertEquals(
        List.of("Rollback[]"),
        link.unanswered().stream()
            .map(command -> (TargetCommand.Run) command)
            .map(run -> run.statement().toString())
            .toList());
  }

  @Test
  void shouldAcceptTheKeyWhenLaterConfigurationAddsIt() {
    assertTrue(gateway.open(caller, "db", new Credential("key-3")).isEmpty());

    gateway.apply(table(2, "key-1", "key-3"));

    assertTrue(gateway.open(new RecordingCallerLink(), "db", new Credential("key-3")).isPresent());
  }

  @Test
  void shouldNotContainTheKeyWhenCredentialIsPrinted() {
    assertFalse(new Credential("secret").toString().contains("secret"));
  }
}
