package io.lycheejunction.gateway.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.statement.SessionState;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.dispatch.DispatchFixture.RecordedOutcome;
import io.lycheejunction.gateway.holder.Holder;
import io.lycheejunction.gateway.holder.HolderPlacement;
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
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Failures: the first holder of an organisation is dead, frozen, unreachable, stopping, or no
 * holder any more; a statement that runs twice or is forwarded twice.
 */
class PlacedForwardingTest {
  private static final String FIRST = "vm-1/" + TestTargets.SERVICE;
  private static final String SECOND = "vm-2/" + TestTargets.SERVICE;
  private static final ReadRule LATEST = new ReadRule.Latest();
  private static final Route ROUTE = new Route("db", TestTargets.SERVICE, LATEST, 1_000, 200, 1);

  /** Its order of the holders is vm-1, vm-2 and, if it is one, this VM. */
  private static final String REMOTE = organisationWithOrder("vm-1", "vm-2", DispatchFixture.VM);

  /** Its order of the holders is this VM, vm-1 and vm-2. */
  private static final String OWN = organisationWithOrder(DispatchFixture.VM, "vm-1", "vm-2");

  private final DispatchFixture fixture = new DispatchFixture();

  private static String organisationWithOrder(String... vms) {
    return IntStream.range(0, 1_000)
        .mapToObj(number -> "org-" + number)
        .filter(
            name ->
                HolderPlacement.order(List.of(vms), name, TestTargets.SERVICE).equals(List.of(vms)))
        .findFirst()
        .orElseThrow();
  }

  @BeforeEach
  void addHolders() {
    Endpoint endpoint = new Endpoint("10.0.0.9", 7_441);
    HolderTargets.update(
        fixture.holders,
        List.of(
            new Holder("vm-2", "domain-i-2", endpoint, endpoint),
            new Holder("vm-1", "domain-i-1", endpoint, endpoint)),
        new RouteTable(1, 1, Map.of("db", ROUTE), Map.of(), 0));
  }

  private static StatementRequest request(
      String organisation, ReadRule rule, CallerStatement statement, boolean forwarded) {
    return new StatementRequest(
        "r-1",
        Optional.of(organisation),
        new Route("db", TestTargets.SERVICE, rule, 1_000, 200, 1),
        SessionState.empty(),
        new LogPosition(1, 9),
        statement,
        Optional.empty(),
        forwarded);
  }

  private RecordedOutcome run(StatementRequest request) {
    RecordedOutcome outcome = new RecordedOutcome();
    new SingleStatement(fixture.dispatch, request, outcome).start();
    return outcome;
  }

  private RecordedOutcome write(String organisation) {
    return run(request(organisation, LATEST, DispatchFixture.write(), false));
  }

  private RecordedOutcome read(String organisation) {
    return run(request(organisation, LATEST, DispatchFixture.read(), false));
  }

  private RecordedOutcome beginTransaction() {
    RecordedOutcome outcome = new RecordedOutcome();
    new Transaction(fixture.dispatch, ROUTE, false)
        .run(request(REMOTE, LATEST, DispatchFixture.write(), false), outcome);
    return outcome;
  }

  private static TargetCommand.Run firstCommand(FakeLink link) {
    return (TargetCommand.Run) link.unanswered().getFirst();
  }

  @Test
  void shouldUseFirstHolderInOrderWhenVmForwards() {
    fixture.role.forward();

    RecordedOutcome outcome = write(REMOTE);
    fixture.links.last(FIRST).greet().done(TransactionState.NONE, 1, 5);

    assertTrue(outcome.isDone());
    assertTrue(fixture.links.to(SECOND).isEmpty());
  }

  /** Failure: the first holder is cut off from a primary that other holders reach. */
  @Test
  void shouldUseNextHolderForWritesWhenFirstHasFoundNoPrimary() {
    fixture.role.forward();
    write(REMOTE);
    fixture.links.last(FIRST).greet().fault(ResultCode.NO_PRIMARY, TransactionState.NONE);
    fixture.links.last(SECOND).greet().done(TransactionState.NONE, 1, 5);

    RecordedOutcome later = write(REMOTE);

    assertTrue(fixture.links.last(FIRST).unanswered().isEmpty());
    fixture.links.last(SECOND).done(TransactionState.NONE, 1, 6);
    assertTrue(later.isDone());
  }

  /** Failure: a failure domain is cut off, whose own replicas could still serve its reads. */
  @Test
  void shouldReadFromHolderInTheOwnFailureDomainWhenStaleReadsAreAllowed() {
    fixture.role.forward();

    run(request(REMOTE, new ReadRule.Aged(1_500), DispatchFixture.read(), false));
    assertTrue(fixture.links.to(FIRST).isEmpty());
    assertEquals(1, fixture.links.to(SECOND).size());

    write(REMOTE);
    assertEquals(1, fixture.links.to(FIRST).size());
  }

  /** The connections between VMs serve all organisations, so each statement names its own. */
  @Test
  void shouldNameOrganisationInStatementWhenConnectionLeadsToAnotherVm() {
    fixture.role.forward();

    write(REMOTE);

    FakeLink link = fixture.links.last(FIRST).greet();
    assertEquals(Optional.empty(), link.organisation());
    assertEquals(Optional.of(REMOTE), firstCommand(link).organisation());
  }

  @ParameterizedTest
  @EnumSource(
      value = ResultCode.class,
      names = {"SHUTTING_DOWN", "NO_CONNECTION", "TARGET_UNREACHABLE", "WRONG_TARGET"})
  void shouldUseNextHolderForThisAndLaterStatementsWhenFirstRefuses(ResultCode code) {
    fixture.role.forward();
    final RecordedOutcome outcome = write(REMOTE);
    fixture.links.last(FIRST).greet().fault(code, TransactionState.NONE);
    fixture.links.last(SECOND).greet().done(TransactionState.NONE, 1, 5);
    assertTrue(outcome.isDone());

    write(REMOTE);

    assertTrue(fixture.links.last(FIRST).unanswered().isEmpty());
    assertEquals(1, fixture.links.last(SECOND).unanswered().size());
  }

  /** Load: an organisation that moves at each slow answer needs connections at two holders. */
  @Test
  void shouldKeepFirstHolderWhenItIsSlowButAnswers() {
    fixture.role.forward();
    write(REMOTE);
    final FakeLink link = fixture.links.last(FIRST).greet();
    fixture.scheduler.advanceMs(450);
    link.done(TransactionState.NONE, 1, 5);
    write(REMOTE);
    fixture.scheduler.advanceMs(200);

    write(REMOTE);

    assertEquals(2, fixture.links.to(FIRST).size());
    assertTrue(fixture.links.to(SECOND).isEmpty());
  }

  @Test
  void shouldSkipFirstHolderWhenItIsFrozen() {
    fixture.role.forward();
    write(REMOTE);
    fixture.links.last(FIRST).greet();
    fixture.scheduler.advanceMs(450);

    write(REMOTE);

    assertEquals(1, fixture.links.to(SECOND).size());
  }

  @Test
  void shouldRunStatementDirectlyWhenThisHolderComesFirst() {
    fixture.role.hold();

    write(OWN);

    FakeLink link = fixture.links.last("i-1").greet();
    assertEquals(Optional.of(OWN), link.organisation());
    assertEquals(1, fixture.targets.connectionCount());
    assertEquals(1, fixture.targets.connectedOrganisations());
    assertEquals(DispatchFixture.write(), firstCommand(link).statement());
    assertTrue(fixture.links.to(FIRST).isEmpty());
  }

  @Test
  void shouldForwardStatementOfOwnCallerWhenAnotherHolderComesFirst() {
    fixture.role.hold();

    RecordedOutcome outcome = write(REMOTE);
    fixture.links.last(FIRST).greet().done(TransactionState.NONE, 1, 5);

    assertTrue(outcome.isDone());
    assertTrue(fixture.links.to("i-1").isEmpty());
  }

  /** Failure: a statement that passes between two VMs until its time limit. */
  @Test
  void shouldRunForwardedStatementDirectlyWhenAnotherHolderComesFirst() {
    fixture.role.hold();

    run(request(REMOTE, LATEST, DispatchFixture.write(), true));

    assertEquals(Optional.of(REMOTE), fixture.links.last("i-1").greet().organisation());
    assertTrue(fixture.links.to(FIRST).isEmpty());
  }

  @ParameterizedTest
  @EnumSource(
      value = ResultCode.class,
      names = {"SHUTTING_DOWN", "NO_CONNECTION", "TARGET_UNREACHABLE", "WRONG_TARGET"})
  void shouldRunStatementItselfWhenEarlierHolderRefuses(ResultCode code) {
    fixture.role.hold();

    RecordedOutcome outcome = write(REMOTE);
    fixture.links.last(FIRST).greet().fault(code, TransactionState.NONE);
    fixture.links.last("i-1").greet().done(TransactionState.NONE, 1, 5);

    assertTrue(outcome.isDone());
  }

  @Test
  void shouldRunStatementItselfWhenNoConnectionToEarlierHolderOpens() {
    fixture.role.hold();

    RecordedOutcome outcome = write(REMOTE);
    fixture.scheduler.advanceMs(260);
    fixture.links.last("i-1").greet().done(TransactionState.NONE, 1, 5);

    assertTrue(outcome.isDone());
  }

  @Test
  void shouldNotRunWriteAgainWhenEarlierHolderDiesAfterSending() {
    fixture.role.hold();

    RecordedOutcome outcome = write(REMOTE);
    fixture.links.last(FIRST).greet().drop();

    assertEquals(ResultCode.UNKNOWN_OUTCOME, outcome.fault().code());
    assertTrue(fixture.links.to("i-1").isEmpty());
  }

  @Test
  void shouldRunReadItselfWhenEarlierHolderDiesAfterSending() {
    fixture.role.hold();

    final RecordedOutcome outcome = read(REMOTE);
    fixture.links.last(FIRST).greet().drop();
    FakeLink link = fixture.links.last("i-1").greet();
    link.done(TransactionState.OPEN, 1, 5);
    link.done(TransactionState.OPEN, 1, 5);

    assertTrue(outcome.isDone());
  }

  /** Failure: a frozen holder keeps its connections open and answers nothing. */
  @Test
  void shouldRunReadItselfWhenEarlierHolderIsFrozen() {
    fixture.role.hold();

    final RecordedOutcome outcome = read(REMOTE);
    fixture.links.last(FIRST).greet();
    fixture.scheduler.advanceMs(130);
    FakeLink link = fixture.links.last("i-1").greet();
    link.done(TransactionState.OPEN, 1, 5);
    link.done(TransactionState.OPEN, 1, 5);

    assertTrue(outcome.isDone());
  }

  /** A busy target would only get more work if another holder tried it again. */
  @Test
  void shouldPassRefusalOnWhenEarlierHolderReportsBusyTarget() {
    fixture.role.hold();

    RecordedOutcome outcome = write(REMOTE);
    fixture.links.last(FIRST).greet().fault(ResultCode.TARGET_BUSY, TransactionState.NONE);

    assertEquals(ResultCode.TARGET_BUSY, outcome.fault().code());
    assertTrue(fixture.links.to("i-1").isEmpty());
  }

  @Test
  void shouldSendCommitOfSessionWhenHolderForwardsReadOfOwnWrites() {
    String organisation = organisationWithOrder("vm-2", DispatchFixture.VM, "vm-1");
    fixture.role.hold();

    run(request(organisation, new ReadRule.OwnWrites(2_500), DispatchFixture.read(), false));

    TargetCommand.Run run = firstCommand(fixture.links.last(SECOND).greet());
    assertEquals(Optional.of(new LogPosition(1, 9)), run.after());
  }

  @Test
  void shouldBeginTransactionItselfWhenEarlierHolderStops() {
    fixture.role.hold();
    beginTransaction();
    fixture.links.last(FIRST).greet().fault(ResultCode.SHUTTING_DOWN, TransactionState.NONE);

    FakeLink link = fixture.links.last("i-1").greet();

    assertEquals(new CallerStatement.Begin(false), firstCommand(link).statement());
    assertEquals(Optional.of(REMOTE), link.organisation());
  }

  @Test
  void shouldUseNextHolderWhenFirstIsUnreachable() {
    fixture.role.forward();
    Fault unreachable = Fault.of(ResultCode.TARGET_UNREACHABLE, "connection refused");
    fixture.holders.find(FIRST).orElseThrow().connectFailed(unreachable, 100_000);

    write(REMOTE);

    assertTrue(fixture.links.to(FIRST).isEmpty());
    assertEquals(1, fixture.links.to(SECOND).size());
  }
}
