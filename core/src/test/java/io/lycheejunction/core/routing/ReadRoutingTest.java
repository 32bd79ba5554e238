package io.lycheejunction.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReadRoutingTest {
  private static final LogPosition FLOOR = new LogPosition(1, 10);
  private final TargetLoads loads = new TargetLoads();
  private final Random random = new Random(7);

  private static ReadQuery query(Set<String> leaving, Optional<Long> maxAgeMs) {
    GroupSpec group =
        new GroupSpec(
            "g",
            List.of(
                new TargetSpec("p", "d1", "127.0.0.1:1"),
                new TargetSpec("near", "d1", "127.0.0.1:2"),
                new TargetSpec("far", "d2", "127.0.0.1:3")),
            3,
            20,
            Set.of());
    GroupView view = new GroupView("g", 1, Optional.of("p"), FLOOR);
    return new ReadQuery(group, view, "d1", leaving, FLOOR, maxAgeMs);
  }

  private List<String> order(long nowMs) {
    return ReadRouting.rankTargets(query(Set.of(), Optional.of(100L)), loads::load, nowMs, random);
  }

  /** Returns the share of reads for which the replica "near" is the first choice. */
  private double shareOfNear(long nowMs) {
    int reads = 2_000;
    int near = 0;
    for (int i = 0; i < reads; i++) {
      near += order(nowMs).getFirst().equals("near") ? 1 : 0;
    }
    return (double) near / reads;
  }

  @Nested
  class Order {
    @Test
    void shouldPreferReplicaOfSameDomainWhenLoadsAreEqual() {
      assertEquals(List.of("near", "far", "p"), order(0));
    }

    @Test
    void shouldPreferOtherDomainWhenQueueIsLong() {
      loads.recordAnswer("near", 9, FLOOR, Optional.of(1L), 0);
      assertEquals(List.of("far", "near", "p"), order(0));
    }

    @Test
    void shouldSkipTargetWhenLeaving() {
      List<String> order =
          ReadRouting.rankTargets(query(Set.of("near"), Optional.empty()), loads::load, 0, random);
      assertEquals(List.of("far", "p"), order);
    }

    @Test
    void shouldTryReplicaAfterPrimaryWhenUnreachable() {
      loads.recordRefusal("near", Fault.of(ResultCode.CIRCUIT_OPEN, "open"), 0);
      assertEquals(List.of("far", "p", "near"), order(0));
      assertEquals(List.of("near", "far", "p"), order(500));
    }

    @Test
    void shouldTryReplicaBeforePrimaryWhenOverloaded() {
      loads.recordRefusal("near", new Fault(ResultCode.WAIT_TOO_LONG, "busy", 80), 0);
      assertEquals(List.of("far", "near", "p"), order(79));
    }
  }

  @Nested
  class Shares {
    @Test
    void shouldHalveShareWhenReplicaRefusedOnce() {
      loads.recordRefusal("near", Fault.of(ResultCode.AGE_NOT_PROVEN, "old"), 0);
      double share = shareOfNear(0);
      assertTrue(share > 0.4 && share < 0.6, "share " + share);
    }

    @Test
    void shouldKeepSmallShareWhenReplicaKeepsRefusing() {
      for (int i = 0; i < 50; i++) {
        loads.recordRefusal("near", Fault.of(ResultCode.AGE_NOT_PROVEN, "old"), 0);
      }
      double share = shareOfNear(0);
      assertTrue(share > 0 && share < 0.1, "share " + share);
    }

    @Test
    void shouldRecoverShareLinearlyWhenRefusalsStop() {
      for (int i = 0; i < 50; i++) {
        loads.recordRefusal("near", Fault.of(ResultCode.AGE_NOT_PROVEN, "old"), 0);
      }
      double half = shareOfNear(1_000);
      assertTrue(half > 0.4 && half < 0.65, "share " + half);
      assertEquals(1.0, shareOfNear(2_000));
    }

    @Test
    void shouldKeepFullShareWhenFloorIsAlreadyApplied() {
      loads.recordAnswer("near", 0, FLOOR, Optional.empty(), 0);
      loads.recordRefusal("near", Fault.of(ResultCode.NOT_FRESH, "behind"), 0);
      assertEquals(1.0, shareOfNear(0));
    }

    @Test
    void shouldReduceShareWhenDataAgeIsNearLimit() {
      loads.recordAnswer("near", 0, FLOOR, Optional.of(100L), 0);
      double share = shareOfNear(0);
      assertTrue(share > 0.4 && share < 0.6, "share " + share);
    }

    @Test
    void shouldRemoveLoadWhenTargetIsNotRetained() {
      loads.recordRefusal("near", Fault.of(ResultCode.CIRCUIT_OPEN, "open"), 0);
      loads.retain(Set.of("p"));
      assertFalse(loads.load("near").isUnreachable(0));
    }
  }
}
