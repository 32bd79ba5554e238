package io.lycheejunction.gateway.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.dispatch.LeastCostSelector;
import io.lycheejunction.gateway.link.FakeLinks;
import io.lycheejunction.gateway.pace.PaceMode;
import io.lycheejunction.gateway.pace.StatementKind;
import io.lycheejunction.gateway.pace.TargetPace;
import io.lycheejunction.gateway.schedule.ManualScheduler;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Failures: targets restart, are promoted, or go away again while they warm up. */
class TargetSlowStartTest {
  private final ManualScheduler scheduler = new ManualScheduler();
  private final Targets targets = new Targets(scheduler, new FakeLinks(), PaceMode.OBSERVED);

  private TargetPace pace(String id) {
    return targets.find(id).orElseThrow().pool().pace();
  }

  private void answer(String id, int count) {
    for (int i = 0; i < count; i++) {
      pace(id).answered(pace(id).sent(StatementKind.READ), Optional.empty());
    }
  }

  private static Target restarted(Target target) {
    return new Target(
        target.id(),
        target.bornMs() + 1,
        1,
        target.service(),
        target.endpoint(),
        target.failureDomain(),
        target.slots(),
        false,
        false,
        9);
  }

  @Test
  void shouldReachSlotsWithinFewAnswersWhenTargetWasRegisteredBefore() {
    targets.update(List.of(TestTargets.target("i-1", true, 1)));
    assertEquals(2, pace("i-1").limit());

    answer("i-1", 2);

    assertEquals(4, pace("i-1").limit());
    assertFalse(pace("i-1").isStartingSlowly());
  }

  @Test
  void shouldStartLowWhenSeveralTargetsRestartAtOnce() {
    List<Target> first =
        List.of(TestTargets.target("i-1", true, 1), TestTargets.target("i-2", false, 2));
    targets.update(first);
    answer("i-1", 4);
    answer("i-2", 4);

    targets.update(first.stream().map(TargetSlowStartTest::restarted).toList());
    answer("i-2", 1);

    assertEquals(1, pace("i-1").limit());
    assertEquals(2, pace("i-2").limit());
  }

  @Test
  void shouldStartLowWhenTargetIsPromoted() {
    targets.update(List.of(TestTargets.target("i-1", false, 1)));
    answer("i-1", 4);

    targets.find("i-1").orElseThrow().recordPrimary(2);
    assertEquals(1, pace("i-1").limit());
    answer("i-1", 1);
    targets.update(List.of(TestTargets.target("i-1", true, 2)));

    assertEquals(2, pace("i-1").limit());
  }

  @Test
  void shouldStartLowAgainWhenTargetFailsWhileItWarms() {
    targets.update(List.of(TestTargets.target("i-1", true, 1)));
    answer("i-1", 2);
    TargetHandle handle = targets.find("i-1").orElseThrow();
    for (int i = 0; i < 2; i++) {
      handle.connectFailed(Fault.of(ResultCode.TARGET_UNREACHABLE, "refused"), scheduler.nowMs());
      handle.recordAnswer(scheduler.nowMs());
      assertEquals(1, pace("i-1").limit());
      answer("i-1", 1);
      assertEquals(2, pace("i-1").limit());
    }

    handle.recordRequest(scheduler.nowMs());
    scheduler.advanceMs(1_500);
    handle.recordAnswer(scheduler.nowMs());

    assertEquals(1, pace("i-1").limit());
    assertTrue(pace("i-1").isStartingSlowly());
  }

  @Test
  void shouldReadElsewhereWhenBestTargetIsAtItsLimit() {
    targets.update(
        List.of(TestTargets.target("i-2", false, 1), TestTargets.target("i-3", false, 2)));
    LeastCostSelector selector = new LeastCostSelector(targets, "domain-i-2");
    scheduler.advanceMs(1);
    for (int i = 0; i < 2; i++) {
      var sent = pace("i-2").sent(StatementKind.READ);
      scheduler.advanceMs(600);
      pace("i-2").answered(sent, Optional.empty());
    }
    assertEquals("i-2", chosen(selector));

    while (pace("i-2").hasRoom()) {
      pace("i-2").sent(StatementKind.READ);
    }

    assertEquals("i-3", chosen(selector));
  }

  private String chosen(LeastCostSelector selector) {
    return selector
        .choose(TestTargets.SERVICE, LogPosition.ORIGIN, Set.of(), scheduler.nowMs())
        .orElseThrow()
        .target()
        .id();
  }
}
