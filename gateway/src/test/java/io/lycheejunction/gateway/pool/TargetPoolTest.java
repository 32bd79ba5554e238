package io.lycheejunction.gateway.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.statement.PreparedStatement;
import io.lycheejunction.core.statement.SessionState;
import io.lycheejunction.gateway.link.FakeLinks;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.pace.TargetPace;
import io.lycheejunction.gateway.route.ReadRule;
import io.lycheejunction.gateway.route.Route;
import io.lycheejunction.gateway.schedule.ManualScheduler;
import io.lycheejunction.gateway.target.TestTargets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class TargetPoolTest {
  private static final Route ROUTE =
      new Route("db", TestTargets.SERVICE, new ReadRule.Latest(), 1_000, 200, 1);

  /** Records its outcome. */
  private static final class RecordingRequest implements LinkRequest {
    private final SessionState session;
    private final int priority;
    private final List<PooledLink> granted = new ArrayList<>();
    private final List<Fault> refused = new ArrayList<>();

    private RecordingRequest(SessionState session, int priority) {
      this.session = session;
      this.priority = priority;
    }

    @Override
    public SessionState session() {
      return session;
    }

    @Override
    public int priority() {
      return priority;
    }

    @Override
    public long deadlineMs() {
      return Long.MAX_VALUE;
    }

    @Override
    public void granted(PooledLink link) {
      granted.add(link);
    }

    @Override
    public void refused(Fault fault) {
      refused.add(fault);
    }
  }

  private static final SessionState ALICE = SessionState.empty().withVariable("user", "alice");
  private static final SessionState BOB = SessionState.empty().withVariable("user", "bob");

  private final ManualScheduler scheduler = new ManualScheduler();
  private final FakeLinks links = new FakeLinks();
  private final List<Fault> connectFaults = new ArrayList<>();
  private final TargetPool pool =
      new TargetPool(
          TestTargets.target("i-1", true, 1),
          links,
          scheduler,
          new ConnectionShare(2, 1),
          reason -> {},
          connectFaults::add,
          TargetPace.off("i-1", scheduler));

  private RecordingRequest acquire(SessionState session, int priority) {
    RecordingRequest request = new RecordingRequest(session, priority);
    pool.acquire(request);
    return request;
  }

  private static TargetCommand read() {
    return new TargetCommand.Run(
        Optional.of("r"),
        Optional.empty(),
        new CallerStatement.Read("x"),
        Optional.empty(),
        Optional.empty());
  }

  private PooledLink open(SessionState session) {
    RecordingRequest request = acquire(session, 0);
    links.last("i-1").greet();
    return request.granted.getFirst();
  }

  @Test
  void shouldOpenConnectionsUpToLimitWhenAllAreBusy() {
    acquire(ALICE, 0);
    acquire(ALICE, 0);
    acquire(ALICE, 0);

    assertEquals(2, links.opened().size());
    assertEquals(3, pool.load());
  }

  @Test
  void shouldServeMostUrgentRequestFirstWhenConnectionIsReleased() {
    final PooledLink first = open(ALICE);
    open(ALICE);
    RecordingRequest patient = acquire(ALICE, 2);
    RecordingRequest urgent = acquire(ALICE, 1);

    first.release();

    assertEquals(1, urgent.granted.size());
    assertTrue(patient.granted.isEmpty());
  }

  /**
   * Guards against a probe that waits behind statements: all connections are held by statements
   * without an answer, and only a probe can tell whether the target is alive.
   */
  @Test
  void shouldOpenOneExtraConnectionWhenProbeFindsAllInUse() {
    open(ALICE);
    open(ALICE);

    acquire(ALICE, LinkRequest.INTERNAL_PRIORITY);
    acquire(ALICE, 0);

    assertEquals(3, links.opened().size());
  }

  @Test
  void shouldPreferConnectionWithSessionStateWhenSeveralAreIdle() {
    PooledLink forAlice = open(ALICE);
    PooledLink forBob = open(BOB);
    forAlice.run(ALICE, read(), result -> {});
    forBob.run(BOB, read(), result -> {});
    for (FakeLinks.FakeLink link : links.opened()) {
      link.done(TransactionState.NONE, 1, 1);
      link.done(TransactionState.NONE, 1, 1);
    }
    forAlice.release();
    forBob.release();

    assertEquals(List.of(forAlice), acquire(ALICE, 0).granted);
  }

  @Test
  void shouldResetConnectionWhenItHasValuesThatSessionLacks() {
    PooledLink link = open(ALICE);
    link.run(ALICE, read(), result -> {});
    links.last("i-1").done(TransactionState.NONE, 1, 1);
    links.last("i-1").done(TransactionState.NONE, 1, 1);

    link.run(SessionState.empty(), read(), result -> {});

    assertEquals(
        List.of(new TargetCommand.Reset(), read()), List.copyOf(links.last("i-1").unanswered()));
  }

  @Test
  void shouldPrepareEqualShapesOnceWhenSessionsUseTheSameName() {
    PooledLink link = open(ALICE);
    PreparedStatement reads = new PreparedStatement(false, "q");
    PreparedStatement writes = new PreparedStatement(true, "q");
    PreparedCommand command =
        new PreparedCommand("r", Optional.empty(), "x", false, ROUTE, Optional.empty());

    link.runPrepared(SessionState.empty(), reads, command, result -> {});
    link.runPrepared(SessionState.empty(), writes, command, result -> {});
    link.runPrepared(SessionState.empty(), reads, command, result -> {});

    long prepared =
        links.last("i-1").unanswered().stream()
            .filter(
                sent ->
                    sent instanceof TargetCommand.Run run
                        && run.statement() instanceof CallerStatement.Prepare)
            .count();
    assertEquals(2, prepared);
  }

  @Test
  void shouldCloseConnectionWhenSettingItUpFails() {
    PooledLink link = open(ALICE);
    List<LinkResult> results = new ArrayList<>();
    link.run(ALICE, read(), results::add);

    links.last("i-1").fault(ResultCode.STATEMENT_FAILED, TransactionState.NONE);

    assertTrue(links.opened().getFirst().isClosed());
    assertTrue(results.getFirst() instanceof LinkResult.Lost);
  }

  @Test
  void shouldNotReuseReleasedConnectionWhenCommandIsUnanswered() {
    PooledLink link = open(ALICE);
    link.runAndRollBack(SessionState.empty(), read(), result -> {});
    links.last("i-1").done(TransactionState.OPEN, 1, 1);
    link.release();

    RecordingRequest next = acquire(SessionState.empty(), 0);
    assertTrue(next.granted.isEmpty());

    links.opened().getFirst().done(TransactionState.NONE, 1, 1);
    assertEquals(List.of(link), next.granted);
  }

  @Test
  void shouldRefuseWaitingRequestsWhenOnlyConnectionFailsToOpen() {
    RecordingRequest request = acquire(ALICE, 0);

    links.last("i-1").drop();

    assertEquals(ResultCode.TARGET_UNREACHABLE, request.refused.getFirst().code());
    assertEquals(1, connectFaults.size());
  }

  @Test
  void shouldRefuseRequestAndCloseConnectionWhenGreetingTimesOut() {
    RecordingRequest request = acquire(ALICE, 0);

    scheduler.advanceMs(TargetPool.OPEN_TIMEOUT_MS);

    assertEquals(1, request.refused.size());
    assertTrue(links.opened().getFirst().isClosed());
  }

  @Test
  void shouldNotGrowDuringBackoffWhenTargetRefusesConnections() {
    open(ALICE);
    acquire(ALICE, 0);
    links.opened().getLast().reject(ResultCode.TARGET_CONNECTIONS_FULL);

    acquire(ALICE, 0);
    assertEquals(2, links.opened().size());

    scheduler.advanceMs(TargetPool.FULL_BACKOFF_MS);
    acquire(ALICE, 0);
    assertEquals(3, links.opened().size());
  }

  /**
   * Guards against premature refusals after VMs have lost power: their connections still count
   * towards the target's limit until the target closes them.
   */
  @Test
  void shouldRetryAfterBackoffAndRefuseOnlyAfterTimeoutWhenTargetIsFull() {
    RecordingRequest first = acquire(ALICE, 0);
    links.opened().getLast().reject(ResultCode.TARGET_CONNECTIONS_FULL);
    assertTrue(first.refused.isEmpty());

    scheduler.advanceMs(TargetPool.FULL_BACKOFF_MS);
    links.opened().getLast().reject(ResultCode.TARGET_CONNECTIONS_FULL);
    scheduler.advanceMs(TargetPool.NO_CONNECTION_TIMEOUT_MS - TargetPool.FULL_BACKOFF_MS);
    assertEquals(ResultCode.NO_CONNECTION, first.refused.getFirst().code());

    RecordingRequest second = acquire(ALICE, 0);
    scheduler.advanceMs(TargetPool.FULL_BACKOFF_MS);
    links.opened().getLast().greet();
    assertEquals(1, second.granted.size());
  }

  @Test
  void shouldCloseConnectionsBeyondIdleShareSoonerWhenIdle() {
    final PooledLink first = open(ALICE);
    final PooledLink second = open(ALICE);
    first.release();
    second.release();

    scheduler.advanceMs(3_000);
    pool.closeIdle();
    assertEquals(1, pool.connectionCount());

    scheduler.advanceMs(20_000);
    pool.closeIdle();
    assertEquals(0, pool.connectionCount());
  }

  /**
   * Guards against a VM that blocks others: with more VMs than a target accepts connections, VMs
   * must give up idle connections so that others can connect.
   */
  @Test
  void shouldCloseIdleConnectionSoonWhenIdleShareIsZero() {
    final PooledLink link = open(ALICE);
    pool.setShare(new ConnectionShare(1, 0));
    link.release();

    scheduler.advanceMs(300);

    assertEquals(0, pool.connectionCount());
  }

  @Test
  void shouldCloseIdleConnectionsWhenShareShrinks() {
    final PooledLink first = open(ALICE);
    open(ALICE);
    first.release();

    pool.setShare(new ConnectionShare(1, 1));

    assertEquals(1, pool.connectionCount());
  }

  @Test
  void shouldCloseIdleConnectionsAtOnceAndBusyOnesLaterWhenRetired() {
    final PooledLink busy = open(ALICE);
    final PooledLink idle = open(ALICE);
    idle.release();

    pool.retire();
    assertFalse(links.opened().getFirst().isClosed());
    assertTrue(links.opened().getLast().isClosed());

    busy.release();
    assertTrue(links.opened().getFirst().isClosed());
    assertEquals(ResultCode.TARGET_LEAVING, acquire(ALICE, 0).refused.getFirst().code());
  }
}
