package io.lycheejunction.gateway.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.statement.SessionState;
import io.lycheejunction.gateway.link.FakeLinks;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.pace.PaceMode;
import io.lycheejunction.gateway.pace.SlowStartCause;
import io.lycheejunction.gateway.pace.TargetPace;
import io.lycheejunction.gateway.route.ReadRule;
import io.lycheejunction.gateway.route.Route;
import io.lycheejunction.gateway.schedule.ManualScheduler;
import io.lycheejunction.gateway.target.TestTargets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Load: statements, probes and open transactions at a target whose limit is 1. */
class LimitedPoolTest {
  private static final Route ROUTE =
      new Route("db", TestTargets.SERVICE, new ReadRule.Latest(), 800, 200, 1);

  private final ManualScheduler scheduler = new ManualScheduler();
  private final FakeLinks links = new FakeLinks();
  private final TargetPace pace =
      TargetPace.of(PaceMode.OBSERVED, "i-1", 4, scheduler, SlowStartCause.FOUND);
  private final TargetPool pool =
      new TargetPool(
          TestTargets.target("i-1", true, 1),
          links,
          scheduler,
          new ConnectionShare(4, 4),
          reason -> {},
          fault -> {},
          pace);
  private final List<PooledLink> granted = new ArrayList<>();
  private final List<Fault> refused = new ArrayList<>();

  private void acquire(int priority) {
    long deadlineMs = scheduler.nowMs() + 800;
    pool.acquire(
        new LinkRequest() {
          @Override
          public SessionState session() {
            return SessionState.empty();
          }

          @Override
          public int priority() {
            return priority;
          }

          @Override
          public long deadlineMs() {
            return deadlineMs;
          }

          @Override
          public void granted(PooledLink link) {
            granted.add(link);
          }

          @Override
          public void refused(Fault fault) {
            refused.add(fault);
          }
        });
  }

  private PooledLink send(PooledLink link, CallerStatement statement) {
    link.run(
        SessionState.empty(),
        new TargetCommand.Run(
            Optional.of("r"), Optional.empty(), statement, Optional.of(ROUTE), Optional.empty()),
        result -> {});
    return link;
  }

  private PooledLink begin() {
    acquire(0);
    links.last("i-1").greet();
    return send(granted.getFirst(), new CallerStatement.Begin(false));
  }

  @Test
  void shouldMakeStatementWaitButNotProbeWhenLimitIsReached() {
    begin();

    acquire(0);
    assertEquals(1, links.opened().size());
    acquire(LinkRequest.INTERNAL_PRIORITY);
    links.last("i-1").greet();

    assertEquals(2, granted.size());
    assertEquals(1, pool.waiting());
  }

  @Test
  void shouldServeWaitingStatementWhenOpenTransactionRests() {
    begin();
    acquire(0);

    links.opened().getFirst().done(TransactionState.OPEN, 1, 1);
    links.last("i-1").greet();

    assertEquals(2, granted.size());
  }

  @Test
  void shouldServeWaitingStatementWhenConnectionIsLost() {
    begin();
    acquire(0);

    links.opened().getFirst().drop();
    links.last("i-1").greet();

    assertEquals(2, granted.size());
  }

  @Test
  void shouldRefuseAtOnceWhenStatementCanNotBeAnsweredInTime() {
    PooledLink link = begin();
    links.last("i-1").done(TransactionState.OPEN, 1, 1);
    send(link, new CallerStatement.Read("x"));
    scheduler.advanceMs(600);
    links.last("i-1").fault(ResultCode.TARGET_BUSY, TransactionState.OPEN);
    send(link, new CallerStatement.Read("x"));
    scheduler.advanceMs(600);
    links.last("i-1").done(TransactionState.OPEN, 1, 1);
    assertEquals(1, pace.limit());
    send(link, new CallerStatement.Read("x"));

    acquire(0);

    assertEquals(ResultCode.WAIT_TOO_LONG, refused.getFirst().code());
    assertTrue(refused.getFirst().retryAfterMs() > 0);
    assertEquals(0, pool.waiting());
  }
}
