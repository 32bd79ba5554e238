package io.lycheejunction.core.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.term.LogPosition;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FailoverDecisionsTest {
  private static final GroupSpec SPEC = spec("a", "b", "c");

  private static GroupSpec spec(String... domains) {
    List<TargetSpec> targets = new java.util.ArrayList<>();
    for (String domain : domains) {
      targets.add(new TargetSpec("t" + (targets.size() + 1), domain, "127.0.0.1:1"));
    }
    return new GroupSpec("orders", targets, 3, 20, Set.of());
  }

  private static TargetStatus status(String target, long term, long logTerm, long offset) {
    LogPosition position = new LogPosition(logTerm, offset);
    return new TargetStatus(target, term, Role.REPLICA, position, position, false);
  }

  @Nested
  class CandidateSelectionSelect {
    @Test
    void shouldSelectHighestTermWhenItsOffsetIsLower() {
      List<TargetStatus> fenced = List.of(status("t1", 9, 2, 50), status("t2", 9, 3, 10));
      assertEquals(
          "t2", CandidateSelection.select(SPEC, fenced, Optional.empty()).orElseThrow().target());
    }

    @Test
    void shouldSelectNoInstanceWhenMajorityIsNotFenced() {
      assertTrue(
          CandidateSelection.select(SPEC, List.of(status("t1", 9, 2, 50)), Optional.empty())
              .isEmpty());
    }

    @Test
    void shouldSkipPreferredInstanceWhenItIsBehindMajority() {
      List<TargetStatus> fenced = List.of(status("t1", 9, 2, 5), status("t2", 9, 2, 6));
      assertEquals(
          "t2", CandidateSelection.select(SPEC, fenced, Optional.of("t1")).orElseThrow().target());
    }

    @Test
    void shouldSelectPreferredInstanceWhenItIncludesMajority() {
      List<TargetStatus> fenced =
          List.of(status("t1", 9, 2, 8), status("t2", 9, 2, 6), status("t3", 9, 2, 6));
      assertEquals(
          "t2", CandidateSelection.select(SPEC, fenced, Optional.of("t2")).orElseThrow().target());
    }
  }

  @Nested
  class PreVoteOutcome {
    @Test
    void shouldBeGrantedWhenTwoOfThreeDomainsReportPrimaryGone() {
      PreVote votes = PreVote.of(SPEC).cast("a", true);
      assertEquals(PreVote.Outcome.OPEN, votes.outcome());
      assertEquals(PreVote.Outcome.GRANTED, votes.cast("b", true).outcome());
    }

    @Test
    void shouldBeDeniedWhenTwoDomainsReportPrimaryPresent() {
      PreVote votes = PreVote.of(SPEC).cast("a", true).cast("b", false).cast("c", false);
      assertEquals(PreVote.Outcome.DENIED, votes.outcome());
    }

    @Test
    void shouldCountDomainOnceWhenItVotesTwice() {
      PreVote votes = PreVote.of(SPEC).cast("a", true).cast("a", true).cast("x", true);
      assertEquals(PreVote.Outcome.OPEN, votes.outcome());
    }

    @Test
    void shouldCountInstancesWhenDomainsAreFewerThanThree() {
      PreVote votes = PreVote.of(spec("a", "a", "b")).cast("t1", true).cast("t3", true);
      assertEquals(PreVote.Outcome.GRANTED, votes.outcome());
    }
  }

  @Nested
  class FlapDampingAllows {
    @Test
    void shouldAllowClaimWhenThereWasNoPromotion() {
      assertTrue(FlapDamping.empty().allowsClaim(0));
    }

    @Test
    void shouldDoublePauseWhenPromotionsRepeat() {
      FlapDamping twice = FlapDamping.empty().afterPromotion(0).afterPromotion(10_000);
      assertFalse(twice.allowsClaim(13_999));
      assertTrue(twice.allowsClaim(14_000));
    }

    @Test
    void shouldIgnorePromotionsWhenWindowHasPassed() {
      assertTrue(FlapDamping.empty().afterPromotion(0).allowsClaim(FlapDamping.WINDOW_MS));
    }
  }

  @Nested
  class PrimaryLossOf {
    private final GroupView view =
        new GroupView("orders", 4, Optional.of("t1"), LogPosition.ORIGIN);

    private PrimaryLoss.PrimaryState observe(
        Map<String, TargetStatus> statuses, String... refusing) {
      Function<String, FailureDetector> failureDetectors =
          target ->
              List.of(refusing).contains(target)
                  ? FailureDetector.initial(0).afterRefusedConnection(0)
                  : FailureDetector.initial(0);
      return PrimaryLoss.observe(SPEC, view, statuses, failureDetectors, 10);
    }

    @Test
    void shouldBeGoneWhenPrimaryRefusesConnections() {
      assertEquals(PrimaryLoss.PrimaryState.GONE, observe(Map.of(), "t1"));
      assertEquals(PrimaryLoss.PrimaryState.PRESENT, observe(Map.of(), "t2"));
    }

    @Test
    void shouldBeVacantWhenPrimaryHasSteppedDown() {
      assertEquals(
          PrimaryLoss.PrimaryState.VACANT,
          observe(Map.of("t1", status("t1", 4, 4, 1)), new String[0]));
    }

    @Test
    void shouldBeVacantWhenHigherTermHasNoPrimary() {
      Map<String, TargetStatus> statuses =
          Map.of("t2", status("t2", 5, 4, 1), "t3", status("t3", 5, 4, 1));
      assertEquals(PrimaryLoss.PrimaryState.VACANT, observe(statuses, "t1"));
      assertEquals(PrimaryLoss.PrimaryState.PRESENT, observe(statuses));
    }
  }

  @Nested
  class ClaimOn {
    private final TermClaim start = TermClaim.start(SPEC, 5, "x", Optional.empty(), 220);

    private TermClaim fenced(TermClaim claim, String target, long offset, long nowMs) {
      return claim.apply(new TermClaim.Event.Fenced(status(target, 5, 4, offset), nowMs));
    }

    @Test
    void shouldWaitForLeaseExpiryWhenMajorityIsFenced() {
      TermClaim waiting = fenced(fenced(start, "t1", 7, 100), "t2", 9, 130);
      assertInstanceOf(TermClaim.Step.Fencing.class, fenced(start, "t1", 7, 100).step());
      assertEquals(new TermClaim.Step.WaitingOutLease(350), waiting.step());
      assertEquals(waiting, waiting.apply(new TermClaim.Event.Elapsed(349)));
      assertEquals(
          new TermClaim.Step.Promoting("t2"),
          waiting.apply(new TermClaim.Event.Elapsed(350)).step());
    }

    @Test
    void shouldPromoteLateFencedInstanceWhenItIsAhead() {
      TermClaim waiting = fenced(fenced(start, "t1", 7, 100), "t2", 9, 130);
      TermClaim late = fenced(waiting, "t3", 11, 200);
      assertEquals(
          new TermClaim.Step.Promoting("t3"), late.apply(new TermClaim.Event.Elapsed(350)).step());
    }

    @Test
    void shouldBeLostWhenMajorityRefuses() {
      TermClaim refusedOnce = start.apply(new TermClaim.Event.NotFenced("t1", "taken"));
      assertInstanceOf(TermClaim.Step.Fencing.class, refusedOnce.step());
      assertInstanceOf(
          TermClaim.Step.Lost.class,
          refusedOnce.apply(new TermClaim.Event.NotFenced("t2", "taken")).step());
    }

    @Test
    void shouldIgnoreFenceWhenItsTermDiffers() {
      TermClaim claim = start.apply(new TermClaim.Event.Fenced(status("t1", 6, 4, 1), 100));
      assertEquals(start, claim);
    }

    @Test
    void shouldNotPromoteSecondInstanceWhenAnswerIsLost() {
      TermClaim promoting =
          fenced(fenced(start, "t1", 7, 0), "t2", 9, 0).apply(new TermClaim.Event.Elapsed(220));
      TermClaim lost = promoting.apply(new TermClaim.Event.NotPromoted("no answer"));
      assertInstanceOf(TermClaim.Step.Lost.class, lost.step());
      assertEquals(lost, lost.apply(new TermClaim.Event.Elapsed(1_000)));
      assertEquals(lost, lost.apply(new TermClaim.Event.Promoted(status("t2", 5, 5, 10))));
    }
  }

  /**
   * Guards against two primaries in one term: two claimants race for the same term, and each
   * instance accepts only one of them.
   */
  @Property(seed = "20261204", tries = 500)
  void shouldLetAtMostOneClaimantWinWhenTwoClaimSameTerm(
      @ForAll @Size(3) List<@IntRange(min = 0, max = 3) Integer> outcomes) {
    TermClaim first = TermClaim.start(SPEC, 5, "x", Optional.empty(), 220);
    TermClaim second = TermClaim.start(SPEC, 5, "y", Optional.empty(), 220);
    for (int i = 0; i < outcomes.size(); i++) {
      String target = "t" + (i + 1);
      TermClaim.Event accepted = new TermClaim.Event.Fenced(status(target, 5, 4, i), 0);
      TermClaim.Event refused = new TermClaim.Event.NotFenced(target, "taken or lost");
      first = first.apply(outcomes.get(i) == 0 ? accepted : refused);
      second = second.apply(outcomes.get(i) == 1 ? accepted : refused);
    }
    first = first.apply(new TermClaim.Event.Elapsed(220));
    second = second.apply(new TermClaim.Event.Elapsed(220));
    assertFalse(
        first.step() instanceof TermClaim.Step.Promoting
            && second.step() instanceof TermClaim.Step.Promoting);
  }
}
