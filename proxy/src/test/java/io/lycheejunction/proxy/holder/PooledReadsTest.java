package io.lycheejunction.proxy.holder;

import static io.lycheejunction.proxy.holder.HolderFixture.code;
import static io.lycheejunction.proxy.holder.HolderFixture.read;
import static io.lycheejunction.proxy.holder.HolderFixture.value;
import static io.lycheejunction.proxy.holder.HolderFixture.with;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.configuration.CutOffReads;
import io.lycheejunction.core.configuration.Durability;
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

/**
 * Tests the freshness checks of reads, and floor queries.
 *
 * <p>Guards against reads of data that is older than the session or the age limit requires, or that
 * a failover may still discard because no majority has received it.
 */
class PooledReadsTest {
  private static final String READS = "lycheejunction.holder.reads";
  private static final Fault LOST = Fault.of(ResultCode.MAJORITY_LOST, "lost");
  private static final Fault UNKNOWN = Fault.of(ResultCode.UNKNOWN_OUTCOME, "unknown");

  private final HolderFixture fixture = new HolderFixture();
  private final FakeTargets targets = fixture.targets;
  private final FakeGroupMonitor watch = fixture.watch;

  private static LogPosition at(long term, long offset) {
    return new LogPosition(term, offset);
  }

  @Nested
  class Reads {
    @Test
    void shouldRefuseWhenAnswerIsBehindFloor() {
      watch.applied = at(1, 12);
      Result<HolderAnswer> result =
          fixture.holder2.execute(read("t2", at(1, 11), Optional.empty()));
      assertEquals(Optional.of(ResultCode.NOT_FRESH), code(result));
    }

    @Test
    void shouldNotDispatchWhenReplicaDoesNotCatchUp() {
      Result<HolderAnswer> result =
          fixture.holder2.execute(read("t2", at(1, 11), Optional.empty()));
      assertEquals(Optional.of(ResultCode.NOT_FRESH), code(result));
      assertTrue(targets.executed.isEmpty());
    }

    @Test
    void shouldWaitWhenReplicaCatchesUpSoon() {
      fixture.clock.scheduleAfterMs(8, () -> targets.positions.put("t2", at(1, 11)));
      HolderAnswer answer = value(fixture.holder2.execute(read("t2", at(1, 11), Optional.empty())));
      assertEquals(at(1, 11), answer.position());
    }

    @Test
    void shouldNotWaitAgainWhenReplicaLagged() {
      fixture.holder2.execute(read("t2", at(1, 11), Optional.empty()));
      long beforeMs = fixture.clock.monotonicMs();
      fixture.holder2.execute(read("t2", at(1, 11), Optional.empty()));
      assertEquals(beforeMs, fixture.clock.monotonicMs());
    }

    @Test
    void shouldCompareTermFirstWhenReplicaHasLongerOldLog() {
      watch.applied = at(1, 99);
      targets.positions.put("t2", at(1, 99));
      Result<HolderAnswer> result = fixture.holder2.execute(read("t2", at(2, 3), Optional.empty()));
      assertEquals(Optional.of(ResultCode.NOT_FRESH), code(result));
    }

    @Test
    void shouldRefuseUnconfirmedLogSuffixWhenTermWasReplaced() {
      watch.view = new GroupView("g", 2, Optional.of("t1"), at(2, 11));
      targets.positions.put("t2", at(1, 12));
      Result<HolderAnswer> result =
          fixture.holder2.execute(read("t2", at(1, 5), Optional.of(9_999L)));
      assertEquals(Optional.of(ResultCode.NOT_FRESH), code(result));
    }

    @Test
    void shouldRefuseUnconfirmedLogSuffixWhenPrimaryIsCutOffAndReadHasAgeLimit() {
      watch.termFault = LOST;
      watch.receivedFault = UNKNOWN;
      targets.positions.put("t1", at(1, 12));
      Result<HolderAnswer> result =
          fixture.holder1.execute(read("t1", at(1, 5), Optional.of(9_999L)));
      assertEquals(Optional.of(ResultCode.NOT_FRESH), code(result));
    }

    @Test
    void shouldServeConfirmedDataWhenPrimaryIsCutOffAndReadHasAgeLimit() {
      watch.termFault = LOST;
      value(fixture.holder1.execute(read("t1", at(1, 5), Optional.of(9_999L))));
      assertEquals(1.0, fixture.registry.counter(READS, "role", "replica").count());
    }

    @Test
    void shouldRefuseWhenAgeIsTooHigh() {
      watch.ageMs = OptionalLong.of(51);
      Result<HolderAnswer> result = fixture.holder2.execute(read("t2", at(1, 5), Optional.of(50L)));
      assertEquals(Optional.of(ResultCode.AGE_NOT_PROVEN), code(result));
    }

    @Test
    void shouldServeDataOfUnprovenAgeWhenCutOffAndServiceAllowsIt() {
      watch.ageMs = OptionalLong.empty();
      watch.termFault = LOST;
      HolderStatement read =
          with(
              read("t2", at(1, 5), Optional.of(50L)), CutOffReads.SERVE_OLDER, Durability.MAJORITY);
      assertEquals(Optional.empty(), value(fixture.holder2.execute(read)).ageMs());
    }

    @Test
    void shouldEnforceFloorWhenOlderDataIsAllowed() {
      watch.ageMs = OptionalLong.empty();
      watch.termFault = LOST;
      HolderStatement read =
          with(
              read("t2", at(1, 11), Optional.of(50L)),
              CutOffReads.SERVE_OLDER,
              Durability.MAJORITY);
      assertEquals(Optional.of(ResultCode.NOT_FRESH), code(fixture.holder2.execute(read)));
    }

    @Test
    void shouldRefuseReadOnPrimaryWhenNoMajorityConfirmsData() {
      watch.receivedFault = UNKNOWN;
      Result<HolderAnswer> result = fixture.holder1.execute(read("t1", at(1, 5), Optional.empty()));
      assertEquals(Optional.of(ResultCode.MAJORITY_LOST), code(result));
    }
  }

  @Nested
  class Floors {
    @Test
    void shouldReturnConfirmedEndOfLogWhenForwardedByAnotherProxy() {
      targets.positions.put("t1", at(1, 14));
      assertEquals(at(1, 14), value(fixture.holder2.latestAcknowledgedPosition("g", 1_000)));
      assertEquals(List.of(at(1, 14)), watch.confirmedPositions);
    }

    @Test
    void shouldRefuseWhenPrimaryHasBeenReplaced() {
      targets.positions.put("t1", at(2, 14));
      assertEquals(
          Optional.of(ResultCode.NO_PRIMARY),
          code(fixture.holder1.latestAcknowledgedPosition("g", 1_000)));
    }

    @Test
    void shouldRefuseWhenMajorityDoesNotConfirm() {
      watch.receivedFault = UNKNOWN;
      assertEquals(
          Optional.of(ResultCode.MAJORITY_LOST),
          code(fixture.holder1.latestAcknowledgedPosition("g", 1_000)));
    }
  }
}
