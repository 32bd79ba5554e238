package io.lycheejunction.proxy.group;

import static io.lycheejunction.proxy.group.GroupFixture.GROUP;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.group.GroupReport;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.standin.model.FaultInjector;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FailoverTest {
  private final GroupFixture fixture = new GroupFixture();

  private long countPrimaries(long term) {
    return fixture.targets.stream()
        .map(t -> fixture.model.status(t.name()))
        .filter(s -> s.role() == Role.PRIMARY && s.term() == term)
        .count();
  }

  private GroupView view(String domain) {
    return fixture.monitor(domain).view(GROUP);
  }

  @Nested
  class Tick {
    @Test
    void shouldPromoteOnceWhenPrimaryCrashes() {
      fixture.run(500);
      fixture.model.faults().crash("t-a");
      fixture.run(1_500);
      assertEquals(2, view("b").term());
      assertEquals(view("b").primary(), view("c").primary());
      assertEquals(view("b").primary(), fixture.model.primary());
    }

    @Test
    void shouldNotPromoteWhenPrimaryAnswers() {
      fixture.run(60_000);
      assertEquals(1, view("b").term());
      assertEquals(1, fixture.model.status("t-b").term());
    }

    @Test
    void shouldPromoteMostAdvancedReplicaWhenPrimaryCrashes() {
      fixture.run(500);
      fixture.model.faults().setReplicaLagMs("t-b", 5_000);
      fixture.write("a", "t-a", 1);
      fixture.run(100);
      fixture.model.faults().crash("t-a");
      fixture.run(2_000);
      assertEquals(Optional.of("t-c"), fixture.model.primary());
    }

    @Test
    void shouldKeepAcknowledgedWritesWhenPrimaryIsIsolated() {
      fixture.run(500);
      LogPosition acknowledged = fixture.write("a", "t-a", 1).orElseThrow();
      assertFalse(fixture.monitor("a").confirmReceived(GROUP, acknowledged, 500).isEmpty());
      fixture.links.isolate("a", List.of("b", "c"));
      fixture.write("a", "t-a", 1);
      fixture.run(2_500);
      fixture.links.healAll();
      fixture.run(1_000);
      assertEquals(Role.REPLICA, fixture.model.status("t-a").role());
      assertEquals(fixture.model.log("t-b"), fixture.model.log("t-a"));
      assertTrue(
          fixture.model.log("t-a").stream().anyMatch(e -> e.position().equals(acknowledged)));
      assertEquals(view("b").primary(), view("a").primary());
    }

    @Test
    void shouldNotPromoteWhenMajorityIsLost() {
      fixture.run(500);
      fixture.model.faults().crash("t-a");
      fixture.model.faults().crash("t-b");
      fixture.run(5_000);
      assertEquals(Optional.empty(), fixture.model.primary());
      assertTrue(fixture.monitor("c").confirmTerm(GROUP, 1, 100).isEmpty());
    }

    @Test
    void shouldNotPromoteWhenOnlyOneFailureDomainCannotReachPrimary() {
      fixture.run(500);
      fixture.links.cut("a", "b");
      fixture.run(10_000);
      assertEquals(1, fixture.model.status("t-c").term());
    }

    @Test
    void shouldClaimAgainWhenClaimantDiedAfterFencingAllTargets() {
      fixture.run(500);
      fixture.model.fence("t-a", 2, "dead");
      fixture.model.fence("t-b", 2, "dead");
      fixture.model.fence("t-c", 2, "dead");
      fixture.run(3_000);
      assertEquals(3, view("a").term());
      assertEquals(1, countPrimaries(3));
    }

    @Test
    void shouldClaimAgainWhenClaimantDiedAfterFencingOneTarget() {
      fixture.run(500);
      fixture.model.faults().crash("t-a");
      fixture.model.fence("t-b", 7, "dead");
      fixture.run(3_000);
      assertEquals(8, view("c").term());
      assertEquals(1, countPrimaries(8));
    }

    @Test
    void shouldPromoteWhenPrimaryAndItsProxyFailTogether() {
      fixture.run(500);
      fixture.model.faults().crash("t-a");
      fixture.deadProxies.add("a");
      fixture.run(2_000);
      assertEquals(2, view("b").term());
      assertEquals(view("b").primary(), view("c").primary());
    }

    @Test
    void shouldSwitchOverWhenPrimaryIsDrained() {
      fixture.run(500);
      fixture.drained.add("t-a");
      fixture.run(2_000);
      assertEquals(2, view("a").term());
      assertFalse(fixture.model.primary().equals(Optional.of("t-a")));
    }
  }

  /** Runs an action just before the first promotion request reaches its instance. */
  private static final class BeforeFirstPromotion implements FaultInjector {
    private Runnable action = () -> {};

    @Override
    public FaultAction before(Call call) {
      if (!call.operation().equals("promote")) {
        return FaultAction.PASS;
      }
      Runnable currentAction = action;
      action = () -> {};
      return new FaultAction.Run(currentAction);
    }

    @Override
    public FaultAction after(Call call) {
      return FaultAction.PASS;
    }
  }

  @Nested
  class ClaimSafety {
    private final BeforeFirstPromotion hook = new BeforeFirstPromotion();
    private final GroupFixture hookedFixture = new GroupFixture(hook);

    @Test
    void shouldPromoteOnlyWhenAllLeasesOfOldTermHaveExpired() {
      hookedFixture.run(500);
      List<Boolean> allowed = new ArrayList<>();
      hook.action =
          () -> {
            for (String domain : hookedFixture.proxies.keySet()) {
              allowed.add(hookedFixture.monitor(domain).mayAcknowledge(GROUP, 1));
            }
          };
      for (String domain : hookedFixture.proxies.keySet()) {
        assertFalse(hookedFixture.monitor(domain).confirmTerm(GROUP, 1, 500).isEmpty());
      }
      assertFalse(hookedFixture.proxies.get("b").promote(GROUP, "t-c").isEmpty());
      assertEquals(List.of(false, false, false), allowed);
    }

    @Test
    void shouldLoseClaimWhenAnotherClaimantWinsDuringPause() {
      hookedFixture.run(500);
      hook.action =
          () -> {
            hookedFixture.targets.forEach(t -> hookedFixture.model.fence(t.name(), 9, "other"));
            hookedFixture.model.promote("t-c", 9, "other");
          };
      assertTrue(hookedFixture.proxies.get("a").promote(GROUP, "t-b").isEmpty());
      hookedFixture.run(1_000);
      assertEquals(Optional.of("t-c"), hookedFixture.model.primary());
      assertEquals(Role.REPLICA, hookedFixture.model.status("t-b").role());
      assertEquals(9, hookedFixture.monitor("a").view(GROUP).term());
    }
  }

  @Nested
  class Promote {
    @Test
    void shouldKeepWritesWhenNamedReplicaIsPromoted() {
      fixture.run(500);
      LogPosition position = fixture.write("a", "t-a", 1).orElseThrow();
      assertFalse(fixture.proxies.get("b").promote(GROUP, "t-c").isEmpty());
      assertEquals(Optional.of("t-c"), fixture.model.primary());
      assertTrue(fixture.model.log("t-c").stream().anyMatch(e -> e.position().equals(position)));
    }

    @Test
    void shouldRefuseWhenReplicaIsFarBehind() {
      fixture.run(500);
      fixture.model.faults().setReplicaLagMs("t-c", 60_000);
      fixture.write("a", "t-a", 1);
      assertTrue(fixture.proxies.get("a").promote(GROUP, "t-c").isEmpty());
      assertEquals(Optional.of("t-a"), fixture.model.primary());
      assertFalse(fixture.monitor("a").confirmTerm(GROUP, 1, 500).isEmpty());
    }

    @Test
    void shouldRefuseWhenTargetIsUnknown() {
      assertTrue(fixture.proxies.get("a").promote(GROUP, "t-x").isEmpty());
    }
  }

  @Nested
  class Reports {
    @Test
    void shouldReportInstancesAndLastFailoverWhenFailoverHasEnded() {
      fixture.run(500);
      fixture.model.faults().crash("t-a");
      fixture.run(1_500);
      GroupReport report = fixture.proxies.get("b").reports().getFirst();
      assertTrue(report.monitored());
      assertEquals(3, report.instances().size());
      GroupReport other = fixture.proxies.get("c").reports().getFirst();
      assertTrue(report.lastFailover().or(other::lastFailover).isPresent());
    }
  }
}
