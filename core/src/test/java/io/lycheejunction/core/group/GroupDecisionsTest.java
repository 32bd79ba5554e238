package io.lycheejunction.core.group;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.term.LogPosition;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GroupDecisionsTest {
  private static final GroupSpec SPEC =
      new GroupSpec(
          "orders",
          List.of(
              new TargetSpec("t1", "a", "127.0.0.1:1"),
              new TargetSpec("t2", "b", "127.0.0.1:2"),
              new TargetSpec("t3", "c", "127.0.0.1:3")),
          3,
          20,
          Set.of());

  private static TargetStatus status(String target, Role role, long term, LogPosition received) {
    return new TargetStatus(target, term, role, received, received, false);
  }

  private static LogPosition at(long term, long offset) {
    return new LogPosition(term, offset);
  }

  @Nested
  class Tally {
    @Test
    void shouldNotConfirmPrimaryWhenNoMajorityReportsItsTerm() {
      MajorityTally tally =
          MajorityTally.of(
              SPEC,
              List.of(
                  status("t1", Role.PRIMARY, 1, at(1, 9)),
                  status("t2", Role.REPLICA, 2, at(1, 5)),
                  status("t3", Role.REPLICA, 2, at(1, 5))));
      assertEquals(Optional.empty(), tally.confirmedPrimary());
      assertEquals(OptionalLong.of(2), tally.confirmedTerm());
    }

    @Test
    void shouldNotCountReplicaWhenItIsFencedInHigherTerm() {
      MajorityTally tally =
          MajorityTally.of(
              SPEC,
              List.of(
                  status("t1", Role.PRIMARY, 1, at(1, 9)),
                  status("t2", Role.REPLICA, 2, at(1, 9))));
      assertFalse(tally.isReceived(at(1, 9)));
    }

    @Test
    void shouldReturnOriginWhenMajorityPositionHasLowerTerm() {
      MajorityTally tally =
          MajorityTally.of(
              SPEC,
              List.of(
                  status("t1", Role.PRIMARY, 2, at(2, 10)),
                  status("t2", Role.REPLICA, 2, at(1, 9))));
      assertEquals(LogPosition.ORIGIN, tally.majorityReceived());
    }

    @Test
    void shouldIgnoreInstanceWhenItBelongsToOtherGroup() {
      MajorityTally tally =
          MajorityTally.of(
              SPEC,
              List.of(
                  status("t1", Role.PRIMARY, 1, at(1, 9)), status("x", Role.REPLICA, 1, at(1, 9))));
      assertFalse(tally.hasQuorum());
    }
  }

  @Nested
  class Lease {
    @Test
    void shouldNotCoverAcknowledgementWhenLeaseHasExpiredOrTermDiffers() {
      AckLease lease = new AckLease(3, 100);
      assertTrue(lease.covers(3, 299, 200));
      assertFalse(lease.covers(3, 300, 200));
      assertFalse(lease.covers(2, 150, 200));
    }

    @Test
    void shouldKeepHigherTermWhenRoundOfLowerTermEndsLater() {
      AckLease lease = new AckLease(3, 100).max(new AckLease(2, 500));
      assertEquals(new AckLease(3, 100), lease);
    }
  }

  @Nested
  class Age {
    @Test
    void shouldMeasureAgeFromLatestIncludedRoundWhenSeveralAreKnown() {
      ConfirmedPositionHistory positionHistory =
          ConfirmedPositionHistory.empty()
              .with(100, at(1, 5), at(1, 5))
              .with(200, at(1, 8), at(1, 5));
      assertEquals(OptionalLong.of(150), positionHistory.ageMs(at(1, 7), 250));
      assertEquals(OptionalLong.of(50), positionHistory.ageMs(at(1, 8), 250));
      assertEquals(OptionalLong.empty(), positionHistory.ageMs(at(1, 4), 250));
    }

    @Test
    void shouldProveNoAgeWhenEarlierTermIsNotReceivedByMajority() {
      ConfirmedPositionHistory positionHistory =
          ConfirmedPositionHistory.empty()
              .with(100, at(1, 8), at(1, 6))
              .with(200, at(2, 7), at(2, 7));
      assertEquals(OptionalLong.empty(), positionHistory.ageMs(at(1, 8), 250));
    }

    @Test
    void shouldReplaceLastEntryWhenPositionIsUnchanged() {
      ConfirmedPositionHistory positionHistory =
          ConfirmedPositionHistory.empty()
              .with(100, at(1, 5), at(1, 5))
              .with(900, at(1, 5), at(1, 5));
      assertEquals(OptionalLong.of(100), positionHistory.ageMs(at(1, 5), 1_000));
      assertEquals(1, positionHistory.entries().size());
    }

    @Test
    void shouldStayBoundedAndNotUnderstateAgeWhenRoundsAreMany() {
      ConfirmedPositionHistory positionHistory = ConfirmedPositionHistory.empty();
      for (int i = 1; i <= 5_000; i++) {
        positionHistory = positionHistory.with(i * 50L, at(1, i), at(1, i));
      }
      assertTrue(positionHistory.entries().size() <= 256);
      long provenMs = positionHistory.ageMs(at(1, 4_000), 250_000).orElseThrow();
      assertTrue(provenMs >= 250_000 - 4_000 * 50L);
    }
  }

  @Nested
  class Budget {
    @Test
    void shouldLimitBandwidthWhenIntervalIsWithinBounds() {
      ProbeBudget budget = new ProbeBudget(3_000, 300, 50, 1_000);
      assertEquals(200, budget.intervalMs(2));
      assertEquals(50, budget.intervalMs(0));
      assertEquals(1_000, budget.intervalMs(100));
    }
  }

  @Property(seed = "20261204", tries = 300)
  void shouldNeverLowerTermWhenViewsAreMerged(
      @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 0, max = 9) Integer> terms) {
    GroupView view = GroupView.unknown("orders");
    for (int term : terms) {
      GroupView next =
          view.merge(new GroupView("orders", term, Optional.of("t" + term), at(term, 1)));
      assertTrue(next.term() >= view.term());
      assertTrue(next.confirmed().isAtLeast(view.confirmed()));
      view = next;
    }
  }
}
