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
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Load: statements, probes and open transactions at a target whose limit is 1. */
class LimitedPoolTest {
  private static final Route ROUTE =
      new Route("db", TestTargets.SERVICE, new ReadRule.Latest(), 800, 200, 1);

  /** The number of answers from which on the latency of a target is known. */
  private static final int KNOWN_AFTER = 3;

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
    PooledLink link = answerReads(3 * KNOWN_AFTER, 600);
    refuseRead(link);
    send(link, new CallerStatement.Read("x"));

    acquire(0);

    assertEquals(ResultCode.WAIT_TOO_LONG, refused.getFirst().code());
    assertTrue(refused.getFirst().retryAfterMs() > 0);
    assertEquals(0, pool.waiting());
  }

  /** One answer of 600 ms made all others of the first seconds be refused. */
  @Test
  void shouldMakeStatementWaitWhenFewAnswersAreKnown() {
    PooledLink link = answerReads(KNOWN_AFTER - 1, 600);
    refuseRead(link);
    send(link, new CallerStatement.Read("x"));

    acquire(0);
    acquire(0);

    assertEquals(List.of(), refused);
    assertEquals(2, pool.waiting());
  }

  /** A slow start may still end with a higher limit before the statement's time is over. */
  @Test
  void shouldMakeStatementWaitWhenNoOverloadWasSeen() {
    PooledLink link = answerReads(KNOWN_AFTER, 600);
    while (pace.hasRoom()) {
      send(link, new CallerStatement.Read("x"));
    }

    IntStream.range(0, 20).forEach(i -> acquire(0));

    assertEquals(List.of(), refused);
  }

  /** Locks and reports raised the mean, so that fast statements were refused. */
  @Test
  void shouldMakeStatementWaitWhenSomeStatementsAreMuchSlower() {
    PooledLink link = answerReads(3 * KNOWN_AFTER, 6);
    refuseRead(link);
    for (int i = 0; i < 3; i++) {
      send(link, new CallerStatement.Write("x"));
      scheduler.advanceMs(2_000);
      links.opened().getFirst().done(TransactionState.OPEN, 1, 1);
    }
    send(link, new CallerStatement.Read("x"));

    IntStream.range(0, 3).forEach(i -> acquire(0));

    assertEquals(List.of(), refused);
  }

  /** At a limit of 1, a write behind the lock of an open transaction held up all others. */
  @Test
  void shouldServeWaitingStatementWhenWriteWaitsForLock() {
    begin();
    links.opened().getFirst().done(TransactionState.OPEN, 1, 1);
    refuseRead(granted.getFirst());
    send(granted.getFirst(), new CallerStatement.Write("x"));
    acquire(0);
    scheduler.advanceMs(299);
    assertEquals(1, links.opened().size());

    scheduler.advanceMs(1);
    links.last("i-1").greet();

    assertEquals(2, granted.size());
    links.opened().getFirst().done(TransactionState.OPEN, 1, 1);
    assertEquals(1, pace.limit());
    assertTrue(pace.hasRoom());
  }

  private PooledLink answerReads(int count, long tookMs) {
    PooledLink link = begin();
    scheduler.advanceMs(tookMs);
    links.opened().getFirst().done(TransactionState.OPEN, 1, 1);
    for (int i = 1; i < count; i++) {
      send(link, new CallerStatement.Read("x"));
      scheduler.advanceMs(tookMs);
      links.opened().getFirst().done(TransactionState.OPEN, 1, 1);
    }
    return link;
  }

  private void refuseRead(PooledLink link) {
    while (pace.limit() > 1) {
      send(link, new CallerStatement.Read("x"));
      links.opened().getFirst().fault(ResultCode.TARGET_BUSY, TransactionState.OPEN);
    }
    send(link, new CallerStatement.Read("x"));
    links.opened().getFirst().fault(ResultCode.TARGET_BUSY, TransactionState.OPEN);
  }
}
