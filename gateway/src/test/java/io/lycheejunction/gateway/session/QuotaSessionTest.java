package io.lycheejunction.gateway.session;

import static io.lycheejunction.core.result.ResultCode.QUOTA_EXCEEDED;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.gateway.dispatch.DispatchFixture;
import io.lycheejunction.gateway.holder.Holder;
import io.lycheejunction.gateway.holder.HolderTargets;
import io.lycheejunction.gateway.link.FakeLinks.FakeLink;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.organisation.Organisation;
import io.lycheejunction.gateway.organisation.Organisations;
import io.lycheejunction.gateway.organisation.Quota;
import io.lycheejunction.gateway.quota.QuotaAllowance;
import io.lycheejunction.gateway.quota.Quotas;
import io.lycheejunction.gateway.route.ReadRule;
import io.lycheejunction.gateway.route.Route;
import io.lycheejunction.gateway.route.RouteTable;
import io.lycheejunction.gateway.target.Endpoint;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against operations that are counted twice or not at all, and against lost tokens. */
class QuotaSessionTest {
  /** The first tokens of the only slot are 3; another one comes after 5 seconds. */
  private static final QuotaAllowance ALLOWANCE = new QuotaAllowance(5_000, 0.1, 9);

  private static final Quota QUOTA = new Quota(0.2, 1);

  private static final long RETRY_MS = 60;
  private static final LinkReply REFUSAL =
      new LinkReply(
          List.of(),
          Optional.empty(),
          Optional.of(new Fault(QUOTA_EXCEEDED, "used up", RETRY_MS)),
          TransactionState.NONE,
          Optional.empty());

  private final DispatchFixture fixture = new DispatchFixture();
  private final Quotas quotas =
      new Quotas(
          Optional.of(ALLOWANCE),
          fixture.scheduler,
          () -> OptionalLong.of(0),
          (vm, want, done) -> done.accept(Optional.empty()),
          List::of);
  private final Gateway gateway = new Gateway(fixture.dispatch, quotas);
  private final RecordingCallerLink caller = new RecordingCallerLink();
  private final CallerSession session;

  QuotaSessionTest() {
    quotas.setSlots(1);
    Route route =
        new Route("db", "ledger", new ReadRule.Latest(), DispatchFixture.TIMEOUT_MS, 200, 1, true);
    Organisation acme = new Organisation("acme", 1, Optional.of(QUOTA));
    gateway.apply(
        new RouteTable(
            1,
            1,
            Map.of("db", route),
            Map.of(),
            0,
            Organisations.of(Map.of(acme, List.of("key")))));
    session = gateway.open(caller, "db", new Credential("key")).orElseThrow();
  }

  private FakeLink link() {
    return fixture.links.last("i-1");
  }

  private void write() {
    session.query("1", new CallerStatement.Write("x 1"));
  }

  @Test
  void shouldRefuseWhenTheTokensAreUsedUpAndRunAgainWhenThereIsRoom() {
    write();
    link().greet().done(TransactionState.NONE, 1, 5);
    write();
    link().done(TransactionState.NONE, 1, 5);
    write();
    link().done(TransactionState.NONE, 1, 5);

    write();
    assertTrue(caller.lastReply().contains(ResultCode.QUOTA_EXCEEDED.name()));
    assertTrue(link().unanswered().isEmpty());

    fixture.scheduler.advanceMs(5_000);
    write();
    assertEquals(1, link().unanswered().size());
  }

  @Test
  void shouldCountEachTransactionOnceAndFailItWhenItsFirstStatementIsRefused() {
    for (int i = 0; i < 3; i++) {
      session.query("b", new CallerStatement.Begin(false));
      write();
      if (i == 0) {
        link().greet();
      }
      link().done(TransactionState.OPEN, 1, 5);
      link().done(TransactionState.OPEN, 1, 5);
      write();
      link().done(TransactionState.OPEN, 1, 5);
      session.query("c", new CallerStatement.Commit());
      link().done(TransactionState.NONE, 1, 6);
      assertEquals("done NONE", caller.lastReply());
    }

    session.query("b", new CallerStatement.Begin(false));
    write();
    assertTrue(caller.lastReply().contains(ResultCode.QUOTA_EXCEEDED.name()));
    session.query("c", new CallerStatement.Commit());

    assertTrue(caller.lastReply().contains(ResultCode.ROLLED_BACK.name()));
    assertTrue(link().unanswered().isEmpty());
  }

  @Test
  void shouldGiveTheTokenBackWhenTheStatementWasNotSent() {
    for (int i = 0; i < 10; i++) {
      write();
      fixture.scheduler.advanceMs(DispatchFixture.TIMEOUT_MS);
      assertFalse(caller.lastReply().contains(ResultCode.QUOTA_EXCEEDED.name()));
    }
  }

  /** Load: targets that refuse statements as busy use up the quota of those that would run. */
  @Test
  void shouldGiveTheTokenBackWhenTheTargetRefusesTheStatement() {
    for (int i = 0; i < 10; i++) {
      write();
      if (i == 0) {
        link().greet();
      }
      link().fault(ResultCode.TARGET_BUSY, TransactionState.NONE);
      assertFalse(caller.lastReply().contains(ResultCode.QUOTA_EXCEEDED.name()));
    }
  }

  @Test
  void shouldKeepTheTokensOfEarlierStatementsWhenTheCallerLeavesAnEmptyTransaction() {
    write();
    link().greet().done(TransactionState.NONE, 1, 5);
    session.query("b", new CallerStatement.Begin(false));
    session.onDisconnect();

    assertEquals(1, quotas.counts().allowed());
    int started = 0;
    for (int i = 0; i < 4; i++) {
      CallerSession other = gateway.open(caller, "db", new Credential("key")).orElseThrow();
      other.query("1", new CallerStatement.Write("x 1"));
      started = (int) quotas.counts().allowed();
    }
    assertEquals(3, started);
  }

  /** Another holder would refuse as well, and each statement would cost a message. */
  @Test
  void shouldPassTheRefusalOfTheHolderOnAndRememberItWhenThisVmForwards() {
    Endpoint endpoint = new Endpoint("10.0.0.9", 7_441);
    HolderTargets.update(
        fixture.holders,
        List.of(
            new Holder("vm-1", "domain-i-2", endpoint, endpoint),
            new Holder("vm-2", "domain-i-1", endpoint, endpoint)),
        gateway.routes());
    fixture.role.forward();
    write();
    fixture.links.last("vm-1/ledger").greet().answer(REFUSAL);
    assertEquals("QUOTA_EXCEEDED NONE", caller.lastReply());

    write();
    assertEquals("QUOTA_EXCEEDED NONE", caller.lastReply());
    assertTrue(fixture.links.last("vm-1/ledger").unanswered().isEmpty());
    assertTrue(fixture.links.to("vm-2/ledger").isEmpty());

    fixture.scheduler.advanceMs(RETRY_MS);
    write();
    fixture.links.last("vm-1/ledger").done(TransactionState.NONE, 1, 5);
    assertEquals("done NONE", caller.lastReply());
    assertEquals(1, quotas.counts().refusedByCache());
    assertEquals(0, quotas.counts().allowed());
  }
}
