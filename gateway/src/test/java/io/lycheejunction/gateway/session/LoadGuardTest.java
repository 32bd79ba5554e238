package io.lycheejunction.gateway.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.gateway.dispatch.DispatchFixture;
import io.lycheejunction.gateway.quota.Quotas;
import io.lycheejunction.gateway.route.ReadRule;
import io.lycheejunction.gateway.route.Route;
import io.lycheejunction.gateway.route.RouteTable;
import io.lycheejunction.gateway.schedule.LoopLag;
import io.lycheejunction.gateway.schedule.ManualScheduler;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/** Load: all callers return to a VM whose processor is too slow for them. */
class LoadGuardTest {
  private static final long INTERVAL_MS = 50;
  private static final Route URGENT = route(151);
  private static final Route PATIENT = route(1_001);

  private final DispatchFixture fixture = new DispatchFixture();
  private final ManualScheduler scheduler = fixture.scheduler;
  private final LoopLag lag = new LoopLag(scheduler, INTERVAL_MS);
  private final LoadGuard guard = new LoadGuard(scheduler, lag, 7);

  LoadGuardTest() {
    lag.start();
  }

  private static Route route(long objectiveMs) {
    return new Route(
        "db", "ledger", new ReadRule.Latest(), DispatchFixture.TIMEOUT_MS, objectiveMs, 1);
  }

  private void stall(long lateMs) {
    scheduler.stallMs(INTERVAL_MS + lateMs);
    scheduler.advanceMs(0);
  }

  /** Returns the decision on an operation whose line has waited for those of other clients. */
  private Optional<Fault> decide(Route route, long ageMs) {
    AtomicReference<Optional<Fault>> refusal = new AtomicReference<>();
    guard.handleContended(ageMs, () -> refusal.set(guard.refusalOf(route)));
    return refusal.get();
  }

  /** Failure: a client that sends ahead what the protocol allows is refused its own statements. */
  @Test
  void shouldRefuseNothingWhenNoOtherClientWaits() {
    stall(4_000);

    assertEquals(Optional.empty(), guard.refusalOf(URGENT));
  }

  @Test
  void shouldRefuseNothingWhenTheLoopIsNotBehind() {
    scheduler.advanceMs(5_000);

    assertEquals(Optional.empty(), decide(route(1), 0));
    assertEquals(0, guard.refused());
  }

  @Test
  void shouldRefuseOnlyOperationsThatWouldMissTheirObjective() {
    stall(200);

    Fault refusal = decide(URGENT, 0).orElseThrow();
    assertEquals(1_202, refusal.code().number());
    assertTrue(refusal.isNotRun());
    assertEquals(Optional.empty(), decide(PATIENT, 0));
  }

  @Test
  void shouldRefuseWhenTheLineHasWaitedForLongerThanTheObjective() {
    assertTrue(decide(URGENT, 160).isPresent());
    assertEquals(Optional.empty(), decide(URGENT, 0));
  }

  @Test
  void shouldSpreadRetriesAndGrowWithTheLag() {
    stall(200);
    final long shortMs = decide(URGENT, 0).orElseThrow().retryAfterMs();
    stall(4_000);
    long longMs = decide(URGENT, 0).orElseThrow().retryAfterMs();

    assertTrue(shortMs >= 200 && shortMs <= 400, "short " + shortMs);
    assertTrue(longMs >= 4_100 && longMs <= 8_200, "long " + longMs);
  }

  @Test
  void shouldBeOverloadedOnlyWhileRefusalsLast() {
    stall(200);
    decide(URGENT, 0);
    assertFalse(guard.isOverloaded());

    stall(LoadGuard.SUSTAINED_MS);
    decide(URGENT, 0);
    assertTrue(guard.isOverloaded());

    scheduler.advanceMs(2 * LoadGuard.SUSTAINED_MS);
    assertFalse(guard.isOverloaded());
  }

  /** Failure: work that has started is thrown away, so that its target worked in vain. */
  @Test
  void shouldRefuseNewOperationsAndGoOnWithOpenTransactions() {
    Gateway gateway = new Gateway(fixture.dispatch, Quotas.unlimited(scheduler), guard);
    gateway.apply(new RouteTable(1, 1, Map.of("db", URGENT), Map.of(), 0));
    RecordingCallerLink open = new RecordingCallerLink();
    RecordingCallerLink other = new RecordingCallerLink();
    CallerSession session = gateway.open(open, "db", Credential.none()).orElseThrow();
    final CallerSession otherSession = gateway.open(other, "db", Credential.none()).orElseThrow();
    session.query("1", new CallerStatement.Begin(false));
    stall(200);

    guard.handleContended(0, () -> session.query("2", new CallerStatement.SetVariable("a", "b")));
    guard.handleContended(0, () -> otherSession.query("3", new CallerStatement.Begin(false)));
    assertEquals("done OPEN", open.lastReply());
    assertEquals("WAIT_TOO_LONG NONE", other.lastReply());
    guard.handleContended(0, () -> otherSession.query("4", new CallerStatement.Write("x 1")));
    assertEquals("WAIT_TOO_LONG NONE", other.lastReply());

    guard.handleContended(0, () -> session.query("5", new CallerStatement.Write("x 1")));
    assertEquals(2, guard.refused());
    assertFalse(fixture.links.last("i-1").greet().unanswered().isEmpty());
  }
}
