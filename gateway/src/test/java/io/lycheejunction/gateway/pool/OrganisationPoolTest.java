package io.lycheejunction.gateway.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.SessionState;
import io.lycheejunction.gateway.link.FakeLinks;
import io.lycheejunction.gateway.link.FakeLinks.FakeLink;
import io.lycheejunction.gateway.pace.TargetPace;
import io.lycheejunction.gateway.schedule.ManualScheduler;
import io.lycheejunction.gateway.target.TestTargets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Load: more organisations than connections to a target. Failures: an organisation that waits while
 * others keep all connections busy, a connection that serves two of them, more connections than the
 * share.
 */
class OrganisationPoolTest {
  private static final int SHARE = 3;

  private final ManualScheduler scheduler = new ManualScheduler();
  private final FakeLinks links = new FakeLinks();
  private final List<FakeLink> greeted = new ArrayList<>();
  private final List<OpenReason> reasons = new ArrayList<>();
  private final TargetPool pool = poolOf(links);

  private final class Request implements LinkRequest {
    private final Optional<String> organisation;
    private final int priority;
    private final List<PooledLink> granted = new ArrayList<>();

    private Request(Optional<String> organisation, int priority) {
      this.organisation = organisation;
      this.priority = priority;
    }

    @Override
    public SessionState session() {
      return SessionState.empty();
    }

    @Override
    public Optional<String> organisation() {
      return organisation;
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
      throw new AssertionError(fault);
    }

    private void release() {
      granted.getFirst().release();
    }
  }

  private TargetPool poolOf(FakeLinks opener) {
    return new TargetPool(
        TestTargets.target("i-1", true, 1),
        opener,
        scheduler,
        new ConnectionShare(SHARE, 1),
        reasons::add,
        fault -> {},
        TargetPace.off("i-1", scheduler));
  }

  private Request acquire(String organisation) {
    return acquire(Optional.of(organisation), 1);
  }

  private Request acquire(Optional<String> organisation, int priority) {
    Request request = new Request(organisation, priority);
    pool.acquire(request);
    return request;
  }

  /** Acquires a connection that is opened for the request. */
  private Request open(String organisation) {
    Request request = acquire(organisation);
    links.opened().getLast().greet();
    assertEquals(Optional.of(organisation), request.granted.getFirst().organisation());
    return request;
  }

  private List<String> connected() {
    return links.to("i-1").stream().map(link -> link.organisation().orElse("-")).toList();
  }

  @Test
  void shouldTellTargetTheOrganisationWhenConnectionIsOpened() {
    open("acme");

    assertEquals(List.of("acme"), connected());
    assertEquals(List.of(OpenReason.FIRST), reasons);
  }

  @Test
  void shouldReuseConnectionOnlyForItsOrganisationWhenItIsIdle() {
    Request first = open("acme");
    first.release();

    final Request other = acquire("bolt");
    final Request same = acquire("acme");

    assertTrue(other.granted.isEmpty());
    assertEquals(first.granted, same.granted);
    assertEquals(List.of("acme", "bolt"), connected());
  }

  @Test
  void shouldCloseLeastRecentlyUsedConnectionWhenShareIsUsedUp() {
    List<Request> used = List.of(open("acme"), open("bolt"), open("core"));
    used.get(1).release();
    scheduler.advanceMs(1);
    used.get(0).release();
    scheduler.advanceMs(1);
    used.get(2).release();

    open("dora");

    assertEquals(List.of("acme", "core", "dora"), connected());
    assertEquals(OpenReason.EVICTED_OTHER, reasons.getLast());
  }

  /** Failure: three organisations with waiting requests pass connections among themselves. */
  @Test
  void shouldServeOrganisationInItsTurnWhenOthersKeepAllConnectionsBusy() {
    List<Request> busy = new ArrayList<>(List.of(open("acme"), open("acme"), open("bolt")));
    final Request waiting = acquire("dora");
    for (int i = 0; i < 5; i++) {
      acquire("acme");
      acquire("bolt");
    }

    busy.getFirst().release();
    links.last("i-1").greet();

    assertEquals(1, waiting.granted.size());
    assertEquals(SHARE, connected().size());
  }

  /** Load: with a new connection for each statement, a target would lose most of its capacity. */
  @Test
  void shouldNotReplaceConnectionsWhenEachWaitingOrganisationHasOne() {
    List<Request> busy = List.of(open("acme"), open("bolt"), open("core"));
    for (int i = 0; i < 5; i++) {
      acquire("core");
      acquire("bolt");
      acquire("acme");
    }

    busy.forEach(Request::release);

    assertEquals(List.of("acme", "bolt", "core"), connected());
    assertEquals(SHARE, links.opened().size());
  }

  /** Failure: an idle open transaction holds the only connection of its organisation. */
  @Test
  void shouldReplaceConnectionOfAnotherWhenOwnIsInUseForLong() {
    open("bolt");
    final Request other = open("acme");
    open("acme");
    scheduler.advanceMs(PoolLinks.FREE_SOON_MS);
    final Request waiting = acquire("bolt");
    acquire("acme");

    other.release();
    links.last("i-1").greet();

    assertEquals(1, waiting.granted.size());
  }

  @Test
  void shouldReplaceFreedConnectionWhenTheOnesOfTheWaitingRequestStayInUse() {
    Request first = open("acme");
    open("bolt");
    open("bolt");
    final Request waiting = acquire("bolt");

    first.release();
    assertEquals(List.of("acme", "bolt", "bolt"), connected());
    scheduler.advanceMs(PoolLinks.FREE_SOON_MS);
    links.last("i-1").greet();

    assertEquals(1, waiting.granted.size());
    assertEquals(List.of("bolt", "bolt", "bolt"), connected());
  }

  /** Load: all of 40 organisations want one of three connections, again and again. */
  @Test
  void shouldServeAllOrganisationsWithinShareWhenTheyAreMany() {
    List<Request> requests = new ArrayList<>();
    for (int i = 0; i < 120; i++) {
      requests.add(acquire("o-" + i % 40));
    }
    List<Request> released = new ArrayList<>();
    for (int step = 0; step < 400 && released.size() < requests.size(); step++) {
      assertTrue(connected().size() <= SHARE);
      for (FakeLink link : links.to("i-1")) {
        if (!greeted.contains(link)) {
          greeted.add(link);
          link.greet();
        }
      }
      for (Request request : requests) {
        if (!request.granted.isEmpty() && !released.contains(request)) {
          assertEquals(request.organisation, request.granted.getFirst().organisation());
          released.add(request);
          request.release();
        }
      }
      scheduler.advanceMs(5);
    }
    assertEquals(requests.size(), released.size());
  }

  /** Load: an organisation with many statements at a time beside those with few. */
  @Test
  void shouldKeepTheOnlyConnectionOfOrganisationWhenAnotherWaitsForItsOwn() {
    open("bolt").release();
    final Request busy = open("acme");
    open("core").release();

    Request waiting = acquire("acme");
    assertTrue(waiting.granted.isEmpty());
    assertEquals(3, links.opened().size());
    busy.release();

    assertEquals(busy.granted, waiting.granted);
    assertEquals(3, links.opened().size());
  }

  /** Failure: an open transaction keeps the only connection of its organisation. */
  @Test
  void shouldTakeTheOnlyConnectionOfAnotherWhenItsOwnIsNotFreeSoon() {
    open("bolt").release();
    open("acme");
    open("core").release();
    Request waiting = acquire("acme");

    scheduler.advanceMs(PoolLinks.FREE_SOON_MS);
    links.opened().getLast().greet();

    assertEquals(1, waiting.granted.size());
    assertEquals(OpenReason.EVICTED_OTHER, reasons.getLast());
  }

  @Test
  void shouldUseAnyIdleConnectionWhenRequestIsProbe() {
    Request first = open("acme");
    first.release();

    Request probe = acquire(Optional.of("bolt"), LinkRequest.INTERNAL_PRIORITY);

    assertEquals(first.granted, probe.granted);
  }

  /** Failure: a target counts the statement of a public route as one of an organisation. */
  @Test
  void shouldOpenConnectionOfNoOrganisationWhenRequestHasNone() {
    open("acme").release();

    Request request = acquire(Optional.empty(), 1);

    assertTrue(request.granted.isEmpty());
    assertEquals(Optional.empty(), links.opened().getLast().organisation());
  }

  /** Failure: a target whose connections other VMs use up refuses this VM's organisations. */
  @Test
  void shouldReplaceIdleConnectionWhenTargetIsFull() {
    open("acme").release();
    final Request waiting = acquire("bolt");
    links.opened().getLast().reject(ResultCode.TARGET_CONNECTIONS_FULL);

    scheduler.advanceMs(TargetPool.FULL_BACKOFF_MS);
    links.opened().getLast().greet();

    assertEquals(1, waiting.granted.size());
    assertEquals(List.of("bolt"), connected());
  }

  /** Load: organisations with few statements, whose connections would be closed in between. */
  @Test
  void shouldKeepConnectionsOfOrganisationsLongerWhenIdle() {
    List<Request> used = List.of(open("acme"), open("acme"), open("bolt"));
    used.forEach(Request::release);

    scheduler.advanceMs(3_000);
    pool.closeIdle();
    assertEquals(SHARE, connected().size());

    scheduler.advanceMs(20_000);
    pool.closeIdle();
    assertEquals(0, connected().size());
  }

  @Test
  void shouldShareConnectionsOfAllOrganisationsWhenTheyLeadToAnotherVm() {
    TargetPool toVm = poolOf(links.betweenVms());
    Request first = new Request(Optional.of("acme"), 1);
    toVm.acquire(first);
    links.opened().getLast().greet();
    first.release();

    Request second = new Request(Optional.of("bolt"), 1);
    toVm.acquire(second);

    assertEquals(first.granted, second.granted);
    assertEquals(List.of("-"), connected());
  }
}
