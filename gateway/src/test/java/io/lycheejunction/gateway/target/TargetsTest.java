package io.lycheejunction.gateway.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.link.FakeLinks;
import io.lycheejunction.gateway.schedule.LoopLag;
import io.lycheejunction.gateway.schedule.ManualScheduler;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class TargetsTest {
  private final ManualScheduler scheduler = new ManualScheduler();
  private final Targets targets = new Targets(scheduler, new FakeLinks());

  private TargetHandle handle(String id) {
    return targets.find(id).orElseThrow();
  }

  private Optional<String> primary() {
    return targets.primaryOf(TestTargets.SERVICE).map(handle -> handle.target().id());
  }

  @Test
  void shouldKeepTargetUntilDropTimeWhenItsRegistrationIsMissing() {
    targets.update(List.of(TestTargets.target("i-1", true, 1)));
    targets.update(List.of());

    scheduler.advanceMs(Targets.LEAVING_AFTER_MS - 1);
    assertFalse(targets.isLeaving(handle("i-1")));

    scheduler.advanceMs(1);
    assertTrue(targets.isLeaving(handle("i-1")));

    scheduler.advanceMs(Targets.DROP_AFTER_MS - Targets.LEAVING_AFTER_MS);
    assertTrue(targets.find("i-1").isEmpty());
  }

  /** Failure: a VM whose event loop was behind reported healthy primaries as gone. */
  @Test
  void shouldNotCountTargetAsGoneForTheTimeInWhichTheLoopWasBehind() {
    LoopLag lag = new LoopLag(scheduler, 50);
    targets.setStalledTime(lag::stalledMs);
    targets.update(List.of(TestTargets.target("i-1", true, 1)));
    lag.start();
    handle("i-1").recordRequest(scheduler.nowMs());

    scheduler.stallMs(2_000);
    assertFalse(handle("i-1").isGone(scheduler.nowMs()));
    scheduler.advanceMs(0);
    assertFalse(handle("i-1").isGone(scheduler.nowMs()));
    scheduler.advanceMs(299);
    assertFalse(handle("i-1").isGone(scheduler.nowMs()));
    scheduler.advanceMs(1);
    assertTrue(handle("i-1").isGone(scheduler.nowMs()));
  }

  /** Failure: the time limit of a new connection passed while the loop was behind. */
  @Test
  void shouldNotCountTargetAsGoneWhenConnectingTimesOutWhileTheLoopWasBehind() {
    LoopLag lag = new LoopLag(scheduler, 50);
    targets.setStalledTime(lag::stalledMs);
    targets.update(List.of(TestTargets.target("i-1", true, 1)));
    lag.start();
    handle("i-1").recordRequest(scheduler.nowMs());
    scheduler.stallMs(2_000);
    scheduler.advanceMs(0);

    Fault fault = Fault.of(ResultCode.TARGET_UNREACHABLE, "timed out");
    handle("i-1").connectFailed(fault, scheduler.nowMs());
    assertFalse(handle("i-1").isGone(scheduler.nowMs()));
    scheduler.advanceMs(300);
    assertTrue(handle("i-1").isGone(scheduler.nowMs()));
  }

  /** Failure: a primary that has failed is found later although the loop is not behind. */
  @Test
  void shouldCountSilentTargetAsGoneInTheSameTimeWhenTheLoopIsNotBehind() {
    LoopLag lag = new LoopLag(scheduler, 50);
    targets.setStalledTime(lag::stalledMs);
    targets.update(List.of(TestTargets.target("i-1", true, 1)));
    lag.start();
    scheduler.stallMs(2_000);
    scheduler.advanceMs(0);
    handle("i-1").recordRequest(scheduler.nowMs());

    scheduler.advanceMs(349);
    assertFalse(handle("i-1").isGone(scheduler.nowMs()));
    scheduler.advanceMs(1);
    assertTrue(handle("i-1").isGone(scheduler.nowMs()));
  }

  @Test
  void shouldKeepItsConnectionsWhenTheMissingRegistrationReturns() {
    targets.update(List.of(TestTargets.target("i-1", true, 1)));
    final TargetHandle before = handle("i-1");
    targets.update(List.of());
    scheduler.advanceMs(1_000);
    targets.update(List.of(TestTargets.target("i-1", true, 9)));

    scheduler.advanceMs(Targets.DROP_AFTER_MS);

    assertSame(before, handle("i-1"));
  }

  @Test
  void shouldCreateNewHandleWhenTheTargetHasRestarted() {
    targets.update(List.of(TestTargets.target("i-1", true, 1)));
    final TargetHandle before = handle("i-1");

    targets.update(
        List.of(
            new Target(
                "i-1",
                2,
                1,
                TestTargets.SERVICE,
                new Endpoint("10.0.0.1", 1),
                "domain-i-1",
                3,
                false,
                true,
                2)));

    assertNotSame(before, handle("i-1"));
  }

  @Test
  void shouldPreferTheConfirmedPrimaryWhenAnOutdatedRegistrationReturns() {
    targets.update(
        List.of(TestTargets.target("i-1", false, 1), TestTargets.target("i-2", true, 2)));
    handle("i-2").recordPrimary(2);

    targets.update(List.of(TestTargets.target("i-1", true, 9), TestTargets.target("i-2", true, 2)));

    assertEquals(Optional.of("i-2"), primary());
  }

  @Test
  void shouldForgetThePrimaryWhenItAnswersThatItIsNotPrimary() {
    targets.update(List.of(TestTargets.target("i-1", true, 1)));
    handle("i-1").recordPrimary(1);

    handle("i-1").recordFault(Fault.of(ResultCode.NOT_PRIMARY, "lost"), scheduler.nowMs());

    assertEquals(Optional.empty(), primary());
  }

  @Test
  void shouldPreferReachableClaimantWhenThePrimaryRefusesConnections() {
    targets.update(List.of(TestTargets.target("i-1", true, 1), TestTargets.target("i-2", true, 2)));
    handle("i-1").recordPrimary(1);

    handle("i-1")
        .connectFailed(Fault.of(ResultCode.TARGET_UNREACHABLE, "refused"), scheduler.nowMs());

    assertEquals(Optional.of("i-2"), primary());
  }

  /**
   * Guards against new work for a leaving target after the store was restored from a copy. The copy
   * holds the registration from before the target announced that it leaves.
   */
  @Test
  void shouldKeepTargetLeavingWhenAnEarlierRegistrationReturns() {
    Target ready = TestTargets.target("i-1", false, 1);
    targets.update(List.of(ready));
    targets.update(List.of(TestTargets.leaving(ready, 5)));

    targets.update(List.of(ready));

    assertTrue(targets.isLeaving(handle("i-1")));
  }

  /** Guards against the use of a target that has left and was dropped before the restore. */
  @Test
  void shouldNotAddDroppedTargetWhenAnEarlierRegistrationReturns() {
    Target ready = TestTargets.target("i-1", false, 1);
    targets.update(List.of(TestTargets.leaving(ready, 5)));
    targets.update(List.of());
    scheduler.advanceMs(Targets.DROP_AFTER_MS);
    assertTrue(targets.find("i-1").isEmpty());

    targets.update(List.of(ready));

    assertTrue(targets.find("i-1").isEmpty());
  }

  /** Guards against losing the primary when the copy holds the registrations from before it led. */
  @Test
  void shouldKeepPrimaryWhenRegistrationsFromBeforeItsPromotionReturn() {
    Target before = TestTargets.target("i-1", true, 1);
    Target promoted = TestTargets.target("i-2", false, 2);
    targets.update(List.of(before, promoted));
    targets.update(
        List.of(TestTargets.target("i-1", false, 3), TestTargets.target("i-2", true, 4)));

    targets.update(List.of(before, promoted));

    assertEquals(Optional.of("i-2"), primary());
  }
}
