package io.lycheejunction.gateway.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.gateway.dispatch.DispatchFixture;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.route.ReadRule;
import io.lycheejunction.gateway.route.ServiceLimits;
import io.lycheejunction.gateway.target.Targets;
import io.lycheejunction.gateway.target.TestTargets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class PrimaryWatchTest {
  private static final PromotionOrders.Outcome ACCEPTED = new PromotionOrders.Outcome.Accepted();
  private static final PromotionOrders.Outcome REJECTED =
      new PromotionOrders.Outcome.Rejected("409");
  private static final PromotionOrders.Outcome UNKNOWN =
      new PromotionOrders.Outcome.Unknown("lost");

  private final FailoverFixture fixture = new FailoverFixture();

  private void startRun() {
    fixture.crashPrimary();
    fixture.othersVote(true);
    fixture.watch.look();
    fixture.group.scheduler.advanceMs(150);
    fixture.watch.look();
  }

  private void runUntilOrdered() {
    startRun();
    fixture.answerStatus("i-2", 7);
    fixture.answerStatus("i-3", 9);
  }

  @Test
  void shouldOrderTheTargetThatHasReceivedMostUnderTheLeasesToken() {
    runUntilOrdered();

    assertEquals(1, fixture.orders.size());
    assertEquals("i-3", fixture.orders.getFirst().target());
    assertEquals(10, fixture.orders.getFirst().token());
  }

  @Test
  void shouldNotOrderWhenOthersStillReachThePrimary() {
    fixture.crashPrimary();
    fixture.othersVote(false);
    fixture.watch.look();
    fixture.group.scheduler.advanceMs(1_000);
    fixture.watch.look();

    assertTrue(fixture.orders.isEmpty());
  }

  /**
   * Answers a primary and most VMs cut off from the store and from the replicas: the primary's
   * registration lapses while those VMs write to it.
   */
  @Test
  void shouldNotOrderWhenTheRegistrationLapsedAndMoreVmsSayDirectlyThatTheyReachThePrimary() {
    fixture.answers.put(
        "vm-a", new Peers.Answer.Voted(new Vote("vm-a", "domain-i-1", "i-1", false)));
    fixture.answers.put(
        "vm-c", new Peers.Answer.Voted(new Vote("vm-c", "domain-i-3", "i-1", false)));
    fixture.crashPrimary();

    fixture.lapsePrimary();
    lookFor(Targets.DROPPED_MS + 400);

    assertFalse(fixture.board.hasLease());
  }

  /**
   * Answers a primary and most VMs cut off from the store, the replicas and this VM: the cut may
   * end, and what those VMs have acknowledged is kept if the primary still leads by then.
   */
  @Test
  void shouldNotStartWhenTheRegistrationHasJustLapsedAndTheOtherVmsAreSilent() {
    fixture.crashPrimary();

    fixture.lapsePrimary();
    lookFor(Targets.DROPPED_MS - 200);

    assertFalse(fixture.board.hasLease());
  }

  /** Answers the loss of the primary together with the VMs of two failure domains. */
  @Test
  void shouldStartWhenTheRegistrationDoesNotComeBackAndTheOtherVmsAreSilent() {
    fixture.crashPrimary();

    fixture.lapsePrimary();
    lookFor(Targets.DROPPED_MS + 400);

    assertTrue(fixture.board.hasLease());
  }

  private void lookFor(long spanMs) {
    for (long passedMs = 0; passedMs < spanMs; passedMs += 50) {
      fixture.watch.look();
      fixture.group.scheduler.advanceMs(50);
    }
  }

  /** Answers VMs that were killed or replaced a moment ago and still count as present. */
  @Test
  void shouldStartWithoutLapseWhenNoProcessListensOnTheOtherVms() {
    fixture.answers.put("vm-a", new Peers.Answer.Absent());
    fixture.board.votes.add(new Vote("vm-c", "domain-i-3", "i-1", true));

    fixture.crashPrimary();
    fixture.watch.look();
    fixture.group.scheduler.advanceMs(150);
    fixture.watch.look();

    assertFalse(fixture.group.links.to("i-3").isEmpty());
  }

  @Test
  void shouldAnswerPeersThatThePrimaryIsReachedWhenItHasJustAnswered() {
    assertEquals(Optional.of(new Vote("vm-b", "domain-i-2", "i-1", false)), askAfterAnswer());
  }

  private Optional<Vote> askAfterAnswer() {
    fixture.watch.look();
    fixture.group.targets.find("i-1").orElseThrow().heard(fixture.group.scheduler.nowMs());
    return fixture.watch.answerAbout(TestTargets.SERVICE, "i-1");
  }

  @Test
  void shouldNotOrderWhenAnotherProcessHoldsTheLease() {
    fixture.board.lease =
        Optional.of(new Lease("vm-a-1", "i-1", 9, fixture.group.scheduler.nowMs() + 1_000));

    startRun();

    assertTrue(fixture.group.links.to("i-3").isEmpty());
    assertTrue(fixture.orders.isEmpty());
  }

  @Test
  void shouldNotOrderWhenTheLeaseIsLost() {
    fixture.board.taken = true;

    startRun();

    assertTrue(fixture.orders.isEmpty());
  }

  @Test
  void shouldOrderAnotherTargetUnderNewTokenWhenTheFirstIsRejected() {
    runUntilOrdered();

    fixture.orders.getFirst().done().accept(REJECTED);
    fixture.group.scheduler.advanceMs(200);
    fixture.answerStatus("i-2", 7);

    assertEquals("i-2", fixture.orders.getLast().target());
    assertTrue(fixture.orders.getLast().token() > fixture.orders.getFirst().token());
  }

  @Test
  void shouldOrderTheSameTargetUnderTheSameTokenWhenTheAnswerIsLost() {
    runUntilOrdered();

    fixture.orders.getFirst().done().accept(UNKNOWN);
    fixture.group.scheduler.advanceMs(200);

    assertEquals(2, fixture.orders.size());
    assertEquals("i-3", fixture.orders.getLast().target());
    assertEquals(fixture.orders.getFirst().token(), fixture.orders.getLast().token());
  }

  @Test
  void shouldNotOrderAgainWhenTheServiceHasPrimaryMeanwhile() {
    runUntilOrdered();
    fixture.group.targets.update(
        List.of(
            TestTargets.target("i-1", true, 1),
            TestTargets.target("i-2", false, 2),
            TestTargets.target("i-3", true, 8)));
    fixture.watch.look();

    fixture.orders.getFirst().done().accept(UNKNOWN);
    fixture.group.scheduler.advanceMs(1_000);

    assertEquals(1, fixture.orders.size());
  }

  @Test
  void shouldLetLeavingPrimaryStepDownAndItsSuccessorCatchUpBeforeTheOrder() {
    fixture.group.targets.update(
        List.of(
            TestTargets.leaving(TestTargets.target("i-1", true, 1), 5),
            TestTargets.target("i-2", false, 2),
            TestTargets.target("i-3", false, 3)));
    fixture.watch.look();
    fixture.group.links.last("i-1").greet();
    fixture.group.links.last("i-1").done(TransactionState.OPEN, 1, 9);
    fixture.group.links.last("i-1").done(TransactionState.NONE, 1, 9);
    fixture.group.scheduler.advanceMs(300);
    fixture.watch.look();

    assertEquals(
        List.of(new TargetCommand.StepDown(2)),
        fixture.group.links.last("i-1").sent().stream()
            .filter(command -> command instanceof TargetCommand.StepDown)
            .toList());
    fixture.group.links.last("i-1").done(TransactionState.NONE, 1, 9);
    fixture.answerStatus("i-2", 8);
    fixture.answerStatus("i-3", 8);
    assertTrue(fixture.orders.isEmpty());

    fixture.group.scheduler.advanceMs(25);
    fixture.answerStatus("i-2", 8);
    fixture.answerStatus("i-3", 9);
    assertEquals("i-3", fixture.orders.getFirst().target());
    fixture.orders.getFirst().done().accept(ACCEPTED);
  }

  /** Answers a leaving primary that only some VMs reach. */
  @Test
  void shouldLeaveTheReplacementToOthersForMomentWhenLeavingPrimaryIsNotReached() {
    fixture.crashPrimary();
    fixture.group.targets.update(
        List.of(
            TestTargets.leaving(TestTargets.target("i-1", true, 1), 5),
            TestTargets.target("i-2", false, 2),
            TestTargets.target("i-3", false, 3)));
    fixture.watch.look();
    fixture.group.scheduler.advanceMs(900);
    fixture.watch.look();
    assertTrue(fixture.group.links.to("i-3").isEmpty());

    fixture.group.scheduler.advanceMs(500);
    fixture.watch.look();
    fixture.group.scheduler.advanceMs(400);

    assertFalse(fixture.group.links.to("i-3").isEmpty());
  }

  @Test
  void shouldStopReplicasAndNeedAllOfThemWhenCommitsAreSynchronous() {
    fixture.group.targets.share(
        Map.of(TestTargets.SERVICE, new ServiceLimits(21, 1)), fixture.board.presentVms().size());
    startRun();
    fixture.answerStatus("i-2", 7);
    TargetCommand sent = fixture.group.links.last("i-3").greet().sent().getFirst();
    assertEquals(new TargetCommand.StopReceiving(1), sent);

    List<TargetCommand> later = new ArrayList<>();
    for (int step = 0; step < 60; step++) {
      fixture.group.scheduler.advanceMs(25);
      later.addAll(fixture.answerAll("i-2", 7));
    }

    assertTrue(fixture.orders.isEmpty());
    assertTrue(later.contains(new TargetCommand.ReceiveAgain()));
  }

  @Test
  void shouldOrderTheReplicaThatHasReceivedMostWhenAllSynchronousOnesAnswer() {
    fixture.group.targets.share(
        Map.of(TestTargets.SERVICE, new ServiceLimits(21, 1)), fixture.board.presentVms().size());
    runUntilOrdered();

    assertEquals("i-3", fixture.orders.getFirst().target());
  }

  @Test
  void shouldVoteThatThePrimaryAnswersWhenAnotherVmMissesIt() {
    fixture.watch.look();
    fixture.group.links.last("i-1").greet();
    fixture.group.links.last("i-1").done(TransactionState.OPEN, 1, 9);
    fixture.group.links.last("i-1").done(TransactionState.NONE, 1, 9);
    fixture.othersVote(true);

    fixture.watch.look();

    assertEquals(1, fixture.board.own.size());
    assertFalse(fixture.board.own.getFirst().gone());
  }

  /** Answers a primary that went dark while no connection to it was open. */
  @Test
  void shouldVoteSoonWhenConnectionIsNotAccepted() {
    fixture.group.run(new ReadRule.Latest(), DispatchFixture.read());

    fixture.group.scheduler.advanceMs(350);
    fixture.watch.look();

    assertTrue(fixture.board.own.getFirst().gone());
  }

  /** Answers a primary that went dark with a write on its way. */
  @Test
  void shouldAskThePrimaryAtOnceWhenWriteIsOverdue() {
    fixture.group.doubts.tell(fixture.watch::look);
    fixture.group.prove(1, 7);
    fixture.group.run(new ReadRule.Latest(), DispatchFixture.write());
    fixture.group.links.last("i-1").greet();

    fixture.group.scheduler.advanceMs(130);
    assertEquals(2, fixture.group.links.to("i-1").size());
    fixture.group.scheduler.advanceMs(350);
    fixture.watch.look();

    assertTrue(fixture.board.own.getFirst().gone());
  }

  @Test
  void shouldBeIsolatedOnlyWhenNeitherTheStoreNorPrimaryIsReached() {
    fixture.crashPrimary();
    fixture.group.scheduler.advanceMs(1_000);
    fixture.watch.look();
    assertFalse(fixture.watch.isIsolated());

    fixture.board.reachable = false;
    fixture.watch.look();
    fixture.group.scheduler.advanceMs(400);
    assertTrue(fixture.watch.isIsolated());

    fixture.board.reachable = true;
    fixture.watch.look();
    assertFalse(fixture.watch.isIsolated());
  }

  /** Answers a promotion that another VM ordered while the store tells nobody of it. */
  @Test
  void shouldAskTargetsWhoLeadsWhenThePrimaryIsGone() {
    fixture.crashPrimary();
    fixture.othersVote(false);
    fixture.watch.look();
    fixture.group.scheduler.advanceMs(1_500);
    fixture.watch.look();

    assertTrue(
        fixture.group.links.last("i-3").greet().sent().stream()
            .anyMatch(command -> command instanceof TargetCommand.AskStatus));
  }

  @Test
  void shouldAskTargetsWhoLeadsWhenNoPrimaryIsKnown() {
    fixture.group.targets.update(
        List.of(TestTargets.target("i-2", false, 2), TestTargets.target("i-3", false, 3)));
    fixture.group.scheduler.advanceMs(Targets.DROPPED_MS);

    fixture.watch.look();

    assertEquals(
        List.of(new TargetCommand.AskStatus()), fixture.group.links.last("i-2").greet().sent());
  }
}
