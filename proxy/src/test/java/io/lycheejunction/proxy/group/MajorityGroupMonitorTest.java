package io.lycheejunction.proxy.group;

import static io.lycheejunction.proxy.group.GroupFixture.GROUP;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MajorityGroupMonitorTest {
  private final GroupFixture fixture = new GroupFixture();

  private static ResultCode code(Result<?> result) {
    return result.fold(Fault::code, value -> ResultCode.DONE);
  }

  private void isolatePrimary() {
    fixture.links.isolate("a", List.of("b", "c"));
  }

  @Nested
  class View {
    @Test
    void shouldNamePrimaryWhenRoundHasCompleted() {
      fixture.run(50);
      GroupView view = fixture.monitor("b").view(GROUP);
      assertEquals(1, view.term());
      assertEquals(Optional.of("t-a"), view.primary());
    }
  }

  @Nested
  class ConfirmTerm {
    @Test
    void shouldConfirmWhenMajorityAnswers() {
      fixture.run(50);
      fixture.clock.advanceMs(1_000);
      assertEquals(ResultCode.DONE, code(fixture.monitor("a").confirmTerm(GROUP, 1, 500)));
    }

    @Test
    void shouldRefuseWhenPrimaryIsIsolatedAndUnawareOfIt() {
      fixture.run(50);
      isolatePrimary();
      fixture.clock.advanceMs(GroupSettings.ACK_LEASE_MS);
      assertEquals(ResultCode.MAJORITY_LOST, code(fixture.monitor("a").confirmTerm(GROUP, 1, 500)));
    }

    @Test
    void shouldRefuseImmediatelyWhenLastRoundFoundNoMajority() {
      fixture.run(50);
      isolatePrimary();
      fixture.clock.advanceMs(GroupSettings.ACK_LEASE_MS);
      fixture.monitor("a").confirmTerm(GROUP, 1, 500);
      long beforeMs = fixture.clock.monotonicMs();
      assertEquals(ResultCode.MAJORITY_LOST, code(fixture.monitor("a").confirmTerm(GROUP, 1, 500)));
      assertEquals(beforeMs, fixture.clock.monotonicMs());
    }

    @Test
    void shouldRefuseWhenMajorityHasHigherTerm() {
      fixture.run(50);
      fixture.model.fence("t-b", 2, "other");
      fixture.model.fence("t-c", 2, "other");
      fixture.clock.advanceMs(GroupSettings.ACK_LEASE_MS);
      assertEquals(ResultCode.NOT_PRIMARY, code(fixture.monitor("a").confirmTerm(GROUP, 1, 500)));
    }
  }

  @Nested
  class ConfirmReceived {
    @Test
    void shouldConfirmWhenReplicaHasReceivedPosition() {
      fixture.run(50);
      LogPosition position = fixture.write("a", "t-a", 1).orElseThrow();
      Result<GroupView> result = fixture.monitor("a").confirmReceived(GROUP, position, 500);
      assertEquals(ResultCode.DONE, code(result));
      assertTrue(fixture.model.status("t-b").received().isAtLeast(position));
    }

    @Test
    void shouldReturnUnknownOutcomeWhenBothReplicasLag() {
      fixture.run(50);
      fixture.model.faults().setReplicaLagMs("t-b", 10_000);
      fixture.model.faults().setReplicaLagMs("t-c", 10_000);
      LogPosition position = fixture.write("a", "t-a", 1).orElseThrow();
      assertEquals(
          ResultCode.UNKNOWN_OUTCOME,
          code(fixture.monitor("a").confirmReceived(GROUP, position, 500)));
    }

    @Test
    void shouldReturnUnknownOutcomeWhenPrimaryWasReplacedAfterWrite() {
      fixture.run(50);
      isolatePrimary();
      LogPosition position = fixture.write("a", "t-a", 1).orElseThrow();
      fixture.run(2_500);
      fixture.links.healAll();
      assertEquals(
          ResultCode.UNKNOWN_OUTCOME,
          code(fixture.monitor("a").confirmReceived(GROUP, position, 500)));
    }
  }

  @Nested
  class MayAcknowledge {
    @Test
    void shouldRefuseWhenLeaseCountedFromRoundStartHasExpired() {
      fixture.run(50);
      fixture.clock.advanceMs(1_000);
      final long startMs = fixture.clock.monotonicMs();
      assertEquals(ResultCode.DONE, code(fixture.monitor("a").confirmTerm(GROUP, 1, 500)));
      long lastMs = startMs + GroupSettings.ACK_LEASE_MS - 1;
      fixture.clock.advanceMs(lastMs - fixture.clock.monotonicMs());
      assertTrue(fixture.monitor("a").mayAcknowledge(GROUP, 1));
      fixture.clock.advanceMs(1);
      assertFalse(fixture.monitor("a").mayAcknowledge(GROUP, 1));
    }

    @Test
    void shouldRefuseWhenHigherTermIsKnown() {
      fixture.run(50);
      fixture
          .monitor("a")
          .mergeView(new GroupView(GROUP, 2, Optional.of("t-b"), new LogPosition(2, 2)));
      assertFalse(fixture.monitor("a").mayAcknowledge(GROUP, 1));
    }
  }

  @Nested
  class AgeMs {
    @Test
    void shouldIncreaseWhenFailureDomainIsIsolated() {
      fixture.run(300);
      LogPosition applied = fixture.monitor("b").lastAppliedPosition(GROUP, "t-b");
      fixture.links.isolate("b", List.of("a", "c"));
      final long beforeMs = fixture.clock.monotonicMs();
      fixture.run(5_000);
      long passedMs = fixture.clock.monotonicMs() - beforeMs;
      assertTrue(fixture.monitor("b").maxDataAgeMs(GROUP, applied).orElseThrow() >= passedMs);
    }

    @Test
    void shouldStayLowWhenMajorityAnswers() {
      fixture.run(5_000);
      LogPosition applied = fixture.monitor("b").lastAppliedPosition(GROUP, "t-b");
      assertTrue(fixture.monitor("b").maxDataAgeMs(GROUP, applied).orElseThrow() < 500);
    }

    @Test
    void shouldBeEmptyWhenPositionIsInDivergentLogSuffix() {
      fixture.run(300);
      isolatePrimary();
      final LogPosition divergent = fixture.write("a", "t-a", 1).orElseThrow();
      fixture.run(2_500);
      fixture.links.healAll();
      fixture.run(500);
      assertEquals(OptionalLong.empty(), fixture.monitor("a").maxDataAgeMs(GROUP, divergent));
    }
  }

  @Nested
  class AwaitHigherTerm {
    @Test
    void shouldRequestViewWhenPublicationWasMissed() {
      fixture.run(50);
      fixture.deadProxies.add("c");
      fixture.model.faults().crash("t-a");
      fixture.run(2_000);
      fixture.deadProxies.clear();
      assertEquals(2, fixture.monitor("c").awaitHigherTerm(GROUP, 1, 1_000).term());
    }

    @Test
    void shouldReturnLatestViewWhenTimeoutExpires() {
      fixture.run(50);
      long beforeMs = fixture.clock.monotonicMs();
      assertEquals(1, fixture.monitor("a").awaitHigherTerm(GROUP, 1, 200).term());
      assertTrue(fixture.clock.monotonicMs() - beforeMs >= 200);
    }
  }
}
