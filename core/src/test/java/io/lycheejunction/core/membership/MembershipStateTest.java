package io.lycheejunction.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.port.Vm;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MembershipStateTest {
  private static final Vm SELF = entry("self", "10.0.0.1:1", false);
  private static final Vm PEER = entry("peer", "10.0.0.2:1", false);
  private static final RandomGenerator RANDOM =
      RandomGeneratorFactory.of("L64X128MixRandom").create(7);

  private static Vm entry(String name, String address, boolean leaving) {
    return new Vm(name, Vm.Kind.ENTRY, "ikeja", address, leaving);
  }

  private static Vm target(String name, String address, boolean leaving) {
    return new Vm(name, Vm.Kind.TARGET, "ikeja", address, leaving);
  }

  private static MembershipEvent heard(Vm sender, long incarnation, MemberReport... reports) {
    return new MembershipEvent.HeartbeatReceived(
        new Heartbeat(sender, "self", incarnation, 0, List.of(reports), List.of()));
  }

  private static MemberReport report(Vm vm, long incarnation, Member.Health health) {
    return new MemberReport(
        vm.name(), vm.failureDomain(), vm.address(), incarnation, health, vm.leaving(), 0);
  }

  private static MembershipState listed(Vm... vms) {
    return MembershipState.of(SELF).step(new MembershipEvent.VmListRead(List.of(vms)), 0);
  }

  private static MembershipState withMissedHeartbeats(
      MembershipState state, int count, long nowMs) {
    MembershipState next = state;
    for (int i = 0; i < count; i++) {
      next = next.step(new MembershipEvent.HeartbeatUnanswered("peer"), nowMs);
    }
    return next;
  }

  @Nested
  class Live {
    @Test
    void shouldIncludeListedPeerWhenNoFailureIsKnown() {
      assertEquals(List.of(PEER, SELF), listed(SELF, PEER).live(0));
    }

    @Test
    void shouldKeepPeerWhenOneHeartbeatIsUnanswered() {
      assertEquals(List.of(PEER, SELF), withMissedHeartbeats(listed(PEER), 1, 10).live(10));
    }

    @Test
    void shouldDropListedPeerWhenHeartbeatsStayUnanswered() {
      assertEquals(List.of(SELF), withMissedHeartbeats(listed(PEER), 2, 10).live(10));
    }

    @Test
    void shouldIncludePeerAgainWhenItsHeartbeatArrives() {
      MembershipState back = withMissedHeartbeats(listed(PEER), 2, 10).step(heard(PEER, 0), 20);
      assertEquals(List.of(PEER, SELF), back.live(20));
    }

    @Test
    void shouldKeepPeerWhenListNoLongerContainsIt() {
      MembershipState heard = listed(PEER).step(heard(PEER, 0), 5);
      MembershipState unlisted = heard.step(new MembershipEvent.VmListRead(List.of()), 100_000);
      assertEquals(List.of(PEER, SELF), unlisted.live(100_000));
    }

    @Test
    void shouldTrustDirectHeartbeatWhenAnotherProxyReportsSuspicion() {
      MembershipState state = listed(PEER).step(heard(PEER, 0), 0);
      Vm other = entry("other", "10.0.0.3:1", false);
      MembershipState reported =
          state.step(heard(other, 0, report(PEER, 0, Member.Health.SUSPECT)), 1);
      assertTrue(reported.live(MembershipState.DIRECT_TRUST_MS).contains(PEER));
      assertFalse(reported.live(MembershipState.DIRECT_TRUST_MS + 1).contains(PEER));
    }

    @Test
    void shouldClearSuspicionWhenIncarnationIsHigher() {
      MembershipState suspected = withMissedHeartbeats(listed(PEER), 2, 10);
      Vm other = entry("other", "10.0.0.3:1", false);
      MembershipState same =
          suspected.step(heard(other, 0, report(PEER, 0, Member.Health.ALIVE)), 20);
      assertFalse(same.live(20).contains(PEER));
      MembershipState higher =
          suspected.step(heard(other, 0, report(PEER, 1, Member.Health.ALIVE)), 20);
      assertTrue(higher.live(20).contains(PEER));
    }

    @Test
    void shouldDropPeerWhenItReportsThatItIsLeaving() {
      MembershipState state = listed(PEER).step(heard(entry("peer", PEER.address(), true), 1), 5);
      MembershipState relisted = state.step(new MembershipEvent.VmListRead(List.of(PEER)), 6);
      assertEquals(List.of(SELF), relisted.live(6));
    }

    @Test
    void shouldDropSelfWhenLeaving() {
      MembershipState state = listed(PEER).step(new MembershipEvent.ShutdownStarted(), 5);
      assertEquals(List.of(PEER), state.live(5));
      assertTrue(state.heartbeatTo("peer", 0, RANDOM, 5).sender().leaving());
    }

    @Test
    void shouldReplacePeerWhenNewVmUsesItsAddress() {
      Vm fresh = entry("fresh", PEER.address(), false);
      MembershipState state = listed(PEER, fresh).step(heard(fresh, 0), 5);
      assertEquals(List.of(fresh, SELF), state.live(5));
      assertEquals(Optional.empty(), state.find("peer"));
    }
  }

  @Nested
  class Step {
    @Test
    void shouldRefuteWhenSuspected() {
      MembershipState state =
          listed(PEER).step(heard(PEER, 0, report(SELF, 3, Member.Health.SUSPECT)), 5);
      assertEquals(4, state.heartbeatTo("peer", 0, RANDOM, 5).incarnation());
    }

    @Test
    void shouldRemovePeerWhenUnlistedAndSuspectedPastTimeLimit() {
      MembershipState state =
          withMissedHeartbeats(listed(PEER), 2, 10)
              .step(new MembershipEvent.VmListRead(List.of()), 10 + MembershipState.FORGET_MS + 1);
      assertTrue(state.members().isEmpty());
    }

    @Test
    void shouldIgnoreReportWhenSuspectIsUnknown() {
      Vm gone = entry("gone", "10.0.0.9:1", false);
      MembershipState state =
          listed(PEER).step(heard(PEER, 0, report(gone, 0, Member.Health.SUSPECT)), 5);
      assertEquals(Optional.empty(), state.find("gone"));
    }
  }

  @Nested
  class HeartbeatTo {
    @Test
    void shouldLimitReportsWhenFleetIsLarge() {
      Vm[] fleet = new Vm[700];
      for (int i = 0; i < fleet.length; i++) {
        fleet[i] = entry("vm-" + i, "10.0." + i / 200 + "." + i % 200 + ":7101", false);
      }
      Heartbeat heartbeat = listed(fleet).heartbeatTo("vm-1", 0, RANDOM, 0);
      assertEquals(Heartbeat.MAX_REPORTS, heartbeat.reports().size());
    }

    @Test
    void shouldReportSuspicionToPeerWhenPeerIsSuspected() {
      MembershipState suspected = withMissedHeartbeats(listed(PEER), 2, 10);
      assertEquals(
          Member.Health.SUSPECT,
          suspected.heartbeatTo("peer", 0, RANDOM, 10).reports().getFirst().health());
    }
  }

  @Nested
  class Targets {
    @Test
    void shouldBeLeavingWhenListMarksTargetAsLeaving() {
      MembershipState state = listed(target("a1", "10.1.0.1:1", true));
      assertTrue(state.leavingTargets().isLeaving("a1", "10.1.0.1:1", 0));
    }

    @Test
    void shouldNotBeLeavingWhenAnotherVmUsesItsAddress() {
      MembershipState state =
          listed(target("old", "10.1.0.1:1", true), target("a1", "10.1.0.1:1", false));
      assertFalse(state.leavingTargets().isLeaving("a1", "10.1.0.1:1", 0));
    }

    @Test
    void shouldNotBeLeavingWhenAnnouncementIsWithdrawn() {
      MembershipState state = listed().step(new MembershipEvent.TargetAnnouncement("a1", true), 5);
      assertTrue(state.leavingTargets().isLeaving("a1", "", 1_000_000));
      MembershipState withdrawn =
          state.step(new MembershipEvent.TargetAnnouncement("a1", false), 6);
      assertFalse(withdrawn.leavingTargets().isLeaving("a1", "", 6));
    }

    @Test
    void shouldExpireRelayedSignWhenItIsTooOld() {
      Heartbeat heartbeat =
          new Heartbeat(PEER, "self", 0, 0, List.of(), List.of(new LeavingSign("a1", 14_000)));
      MembershipState state =
          listed(PEER).step(new MembershipEvent.HeartbeatReceived(heartbeat), 20_000);
      assertTrue(state.leavingTargets().isLeaving("a1", "", 21_000));
      assertFalse(state.leavingTargets().isLeaving("a1", "", 21_001));
      assertEquals(
          List.of(new LeavingSign("a1", 15_000)),
          state.heartbeatTo("peer", 0, RANDOM, 21_000).signs());
    }
  }
}
