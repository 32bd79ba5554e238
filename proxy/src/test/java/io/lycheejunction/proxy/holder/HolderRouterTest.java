package io.lycheejunction.proxy.holder;

import static io.lycheejunction.proxy.holder.HolderFixture.code;
import static io.lycheejunction.proxy.holder.HolderFixture.read;
import static io.lycheejunction.proxy.holder.HolderFixture.value;
import static io.lycheejunction.proxy.holder.HolderFixture.with;
import static io.lycheejunction.proxy.holder.HolderFixture.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.configuration.CutOffReads;
import io.lycheejunction.core.configuration.Durability;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.port.KeyOutcome;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests forwarding, writes and look-ups of idempotency keys.
 *
 * <p>Guards against the acknowledgement of a write without the required durability or outside the
 * acknowledgement lease, and against a refusal that claims that a dispatched write has not run.
 */
class HolderRouterTest {
  private static final Fault LOST = Fault.of(ResultCode.MAJORITY_LOST, "lost");
  private static final Fault UNKNOWN = Fault.of(ResultCode.UNKNOWN_OUTCOME, "unknown");

  private final HolderFixture fixture = new HolderFixture();
  private final FakeTargets targets = fixture.targets;
  private final FakeGroupMonitor watch = fixture.watch;

  private static LogPosition at(long term, long offset) {
    return new LogPosition(term, offset);
  }

  @Nested
  class Forwarding {
    @Test
    void shouldForwardWhenAnotherProxyHoldsTarget() {
      HolderAnswer answer =
          value(fixture.holder1.execute(read("t2", LogPosition.ORIGIN, Optional.of(50L))));
      assertEquals(List.of("row of r"), answer.rows());
      assertEquals(Optional.of(5L), answer.ageMs());
    }

    @Test
    void shouldReturnNotHolderWhenPeerDoesNotHoldTarget() {
      fixture.liveForHolder2.clear();
      fixture.liveForHolder2.add(HolderFixture.vm("vm1", "d2"));
      Result<HolderAnswer> result = fixture.holder1.execute(write("t2"));
      assertEquals(Optional.of(ResultCode.NOT_HOLDER), code(result));
      assertTrue(targets.executed.isEmpty());
    }

    @Test
    void shouldReturnUnknownOutcomeWhenPeerReplyIsLost() {
      fixture.transportFault = UNKNOWN;
      assertEquals(
          Optional.of(ResultCode.UNKNOWN_OUTCOME), code(fixture.holder1.execute(write("t2"))));
    }
  }

  @Nested
  class Writes {
    @Test
    void shouldAcknowledgeWhenMajorityReceived() {
      HolderAnswer answer = value(fixture.holder1.execute(write("t1")));
      assertEquals(at(1, 10), answer.position());
      assertEquals(List.of(at(1, 10)), watch.confirmedPositions);
    }

    @Test
    void shouldNotDispatchWhenMajorityIsLost() {
      watch.termFault = LOST;
      assertEquals(
          Optional.of(ResultCode.MAJORITY_LOST), code(fixture.holder1.execute(write("t1"))));
      assertTrue(targets.executed.isEmpty());
    }

    @Test
    void shouldNotDispatchWhenTargetIsNotPrimary() {
      watch.view = new GroupView("g", 2, Optional.of("t2"), at(2, 11));
      assertEquals(Optional.of(ResultCode.NOT_PRIMARY), code(fixture.holder1.execute(write("t1"))));
      assertTrue(targets.executed.isEmpty());
    }

    @Test
    void shouldReturnUnknownOutcomeWhenNoMajorityReceivedWrite() {
      watch.receivedFault = UNKNOWN;
      assertEquals(
          Optional.of(ResultCode.UNKNOWN_OUTCOME), code(fixture.holder1.execute(write("t1"))));
    }

    @Test
    void shouldConfirmAgainWhenLeaseExpiredOnce() {
      int[] checks = {0};
      watch.mayAcknowledge = () -> ++checks[0] != 2;
      value(fixture.holder1.execute(write("t1")));
      assertEquals(2, watch.confirmedPositions.size());
    }

    @Test
    void shouldReturnUnknownOutcomeWhenLeaseKeepsExpiring() {
      watch.mayAcknowledge = () -> false;
      assertEquals(
          Optional.of(ResultCode.UNKNOWN_OUTCOME), code(fixture.holder1.execute(write("t1"))));
    }

    @Test
    void shouldReturnUnknownOutcomeWhenLeaseExpiredAndDurabilityIsPrimary() {
      targets.executeReply =
          request -> {
            watch.mayAcknowledge = () -> false;
            watch.termFault = LOST;
            return new TargetReply.Answered(List.of(), at(1, 11), false);
          };
      HolderStatement write = with(write("t1"), CutOffReads.REFUSE, Durability.PRIMARY);
      assertEquals(Optional.of(ResultCode.UNKNOWN_OUTCOME), code(fixture.holder1.execute(write)));
    }

    @Test
    void shouldNotAwaitMajorityWhenDurabilityIsPrimary() {
      value(fixture.holder1.execute(with(write("t1"), CutOffReads.REFUSE, Durability.PRIMARY)));
      assertTrue(watch.confirmedPositions.isEmpty());
    }

    @Test
    void shouldCloseConnectionWhenReplyIsUnknown() {
      targets.executeReply = request -> new TargetReply.Unknown("lost");
      assertEquals(
          Optional.of(ResultCode.UNKNOWN_OUTCOME), code(fixture.holder1.execute(write("t1"))));
      assertEquals(0, targets.openConnections);
      assertEquals(List.of("t1 silent"), watch.unreachable);
    }

    @Test
    void shouldNotReportTargetWhenItAnsweredOtherRequestsMeanwhile() {
      targets.executeReply =
          request -> {
            targets.executeReply = null;
            value(fixture.holder1.execute(write("t1")));
            return new TargetReply.Unknown("slow");
          };
      assertEquals(
          Optional.of(ResultCode.UNKNOWN_OUTCOME), code(fixture.holder1.execute(write("t1"))));
      assertEquals(List.of(), watch.unreachable);
    }

    @Test
    void shouldReuseConnectionWhenTargetRefuses() {
      targets.executeReply =
          request -> new TargetReply.NotRun(Fault.of(ResultCode.BAD_STATEMENT, "bad"));
      fixture.holder1.execute(write("t1"));
      assertEquals(
          Optional.of(ResultCode.BAD_STATEMENT), code(fixture.holder1.execute(write("t1"))));
      assertEquals(1, targets.openedConnections);
    }

    @Test
    void shouldRefuseWhenTargetIsLeaving() {
      fixture.leavingTargets.add("t1");
      assertEquals(
          Optional.of(ResultCode.TARGET_LEAVING), code(fixture.holder1.execute(write("t1"))));
      assertTrue(targets.executed.isEmpty());
    }

    @Test
    void shouldReportTargetWhenItRefusesConnections() {
      targets.openFault = Fault.of(ResultCode.TARGET_UNREACHABLE, "refused by peer");
      assertEquals(
          Optional.of(ResultCode.TARGET_UNREACHABLE), code(fixture.holder1.execute(write("t1"))));
      assertEquals(List.of("t1 refused"), watch.unreachable);
    }

    @Test
    void shouldOpenCircuitWhenTargetIsUnreachableAndCloseItLater() {
      targets.openFault = Fault.of(ResultCode.TARGET_UNREACHABLE, "silence");
      for (int i = 0; i < 10; i++) {
        fixture.holder1.execute(write("t1"));
      }
      assertEquals(
          Optional.of(ResultCode.CIRCUIT_OPEN), code(fixture.holder1.execute(write("t1"))));
      targets.openFault = null;
      fixture.clock.advanceMs(501);
      value(fixture.holder1.execute(write("t1")));
    }
  }

  @Nested
  class Outcomes {
    private final KeyQuery query = new KeyQuery("g", "t1", 1, "key", true, 1_000);

    @Test
    void shouldReturnCancelledWhenMajorityReceivedCancelRow() {
      targets.keyOutcome = Result.success(new KeyOutcome.Cancelled(at(1, 11)));
      assertEquals(KeyAnswer.State.CANCELLED, value(fixture.holder2.lookUpKey(query)).state());
      assertEquals(List.of(at(1, 11)), watch.confirmedPositions);
    }

    @Test
    void shouldConfirmInCurrentTermWhenKeyWasRecordedInEarlierOne() {
      watch.view = new GroupView("g", 3, Optional.of("t1"), at(3, 20));
      targets.keyOutcome = Result.success(new KeyOutcome.Recorded(at(1, 4), List.of("row")));
      KeyAnswer answer =
          value(fixture.holder1.lookUpKey(new KeyQuery("g", "t1", 3, "key", false, 1_000)));
      assertEquals(at(1, 4), answer.position());
      assertEquals(List.of(at(3, 1)), watch.confirmedPositions);
    }

    @Test
    void shouldReturnUnknownOutcomeWhenNoMajorityReceivedCancelRow() {
      targets.keyOutcome = Result.success(new KeyOutcome.Cancelled(at(1, 11)));
      watch.receivedFault = UNKNOWN;
      assertEquals(Optional.of(ResultCode.UNKNOWN_OUTCOME), code(fixture.holder1.lookUpKey(query)));
    }
  }
}
