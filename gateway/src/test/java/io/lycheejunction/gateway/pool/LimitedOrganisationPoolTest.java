package io.lycheejunction.gateway.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.lycheejunction.core.result.Fault;
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

/** Load: organisations that share a target whose limit is 1; failure: one of them never runs. */
class LimitedOrganisationPoolTest {
  private static final Route ROUTE =
      new Route("db", TestTargets.SERVICE, new ReadRule.Latest(), 800, 200, 1);

  private final ManualScheduler scheduler = new ManualScheduler();
  private final FakeLinks links = new FakeLinks();
  private final List<OpenReason> reasons = new ArrayList<>();
  private final TargetPace pace =
      TargetPace.of(PaceMode.OBSERVED, "i-1", 4, scheduler, SlowStartCause.FOUND);
  private final TargetPool pool =
      new TargetPool(
          TestTargets.target("i-1", true, 1),
          links,
          scheduler,
          new ConnectionShare(2, 2),
          reasons::add,
          fault -> {},
          pace);
  private final List<Request> granted = new ArrayList<>();

  /** Sends one begin, which is in progress until it is answered. */
  private final class Request implements LinkRequest {
    private final String organisation;
    private PooledLink link;

    private Request(String organisation) {
      this.organisation = organisation;
      pool.acquire(this);
    }

    @Override
    public SessionState session() {
      return SessionState.empty();
    }

    @Override
    public Optional<String> organisation() {
      return Optional.of(organisation);
    }

    @Override
    public int priority() {
      return 1;
    }

    @Override
    public long deadlineMs() {
      return Long.MAX_VALUE;
    }

    @Override
    public void granted(PooledLink given) {
      link = given;
      granted.add(this);
      link.run(
          session(),
          new TargetCommand.Run(
              Optional.of("r"),
              Optional.empty(),
              new CallerStatement.Begin(false),
              Optional.of(ROUTE),
              Optional.empty()),
          result -> link.release());
    }

    @Override
    public void refused(Fault fault) {
      throw new AssertionError(fault);
    }
  }

  private FakeLinks.FakeLink linkOf(String organisation) {
    return links.to("i-1").stream()
        .filter(link -> link.organisation().equals(Optional.of(organisation)))
        .toList()
        .getLast();
  }

  private void answer(String organisation) {
    linkOf(organisation).done(TransactionState.NONE, 1, 1);
  }

  private Request served(String organisation) {
    Request request = new Request(organisation);
    linkOf(organisation).greet();
    answer(organisation);
    return request;
  }

  @Test
  void shouldGiveEachRequestItsIdleConnectionWhenRoomIsFree() {
    served("acme");
    served("bolt");
    granted.clear();

    Request first = new Request("acme");
    Request second = new Request("bolt");
    final Request third = new Request("acme");
    assertEquals(List.of(first), granted);
    answer("acme");
    assertEquals(List.of(first, second), granted);
    answer("bolt");

    assertEquals(List.of(first, second, third), granted);
    assertEquals(List.of(OpenReason.FIRST, OpenReason.FIRST), reasons);
  }

  @Test
  void shouldCountReplacementAsInProgressWhenOrganisationHasNoConnection() {
    served("acme");
    served("bolt");
    new Request("acme");
    final Request other = new Request("core");
    final Request later = new Request("bolt");
    granted.clear();
    assertEquals(2, reasons.size());

    answer("acme");
    assertEquals(OpenReason.EVICTED_OTHER, reasons.getLast());
    assertFalse(pace.hasRoom());
    assertEquals(List.of(), granted);
    linkOf("core").greet();
    assertEquals(List.of(other), granted);
    answer("core");
    linkOf("bolt").greet();

    assertEquals(List.of(other, later), granted);
  }
}
