package io.lycheejunction.gateway.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.gateway.dispatch.DispatchFixture;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.peer.PeerAnswer;
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
    fixture.watch.checkPrimaries();
    fixture.group.scheduler.advanceMs(150);
    fixture.watch.checkPrimaries();
  }

  private void runUntilPromotionOrdered() {
    startRun();
    fixture.answerStatus("i-2", 7);
    fixture.answerStatus("i-3", 9);
  }

  @Test
  void shouldOrderMostAdvancedTargetUnderLeaseTokenWhenPrimaryIsGone() {
    runUntilPromotionOrdered();

    assertEquals(1, fixture.orders.size());
    assertEquals("i-3", fixture.orders.getFirst().target());
    assertEquals(10, fixture.orders.getFirst().token());
  }

  /**
   * Connections to the store had gone silent as the primary crashed, so that no votes were read for
   * seconds. This VM's own vote was not read either, and without it the others were not asked.
   */
  @Test
  void shouldAskOtherVmsAndReplaceThePrimaryWhenNoVotesAreReadFromTheStore() {
    fixture.store.feedSilent = true;
    fixture.answers.put(
        "vm-a", new PeerAnswer.Replied<>(new Vote("vm-a", "domain-i-1", "i-1", true)));
    fixture.answers.put(
        "vm-c", new PeerAnswer.Replied<>(new Vote("vm-c", "domain-i-3", "i-1", true)));
    fixture.crashPrimary();

    checkFor(500);

    assertTrue(fixture.store.hasLease());
  }

  /** Guards against more requests and other decisions where the votes are read as usual. */
  @Test
  void shouldNotAskOtherVmsAtOnceWhenItsOwnVoteWasNotReadYet() {
    fixture.store.feedSilent = true;

    fixture.crashPrimary();

    assertTrue(fixture.askedVms.isEmpty());
  }

  @Test
  void shouldNotOrderWhenOthersStillReachThePrimary() {
    fixture.crashPrimary();
    fixture.othersVote(false);
    fixture.watch.checkPrimaries();
    fixture.group.scheduler.advanceMs(1_000);
    fixture.watch.checkPrimaries();

    assertTrue(fixture.orders.isEmpty());
  }

  /**
   * Guards against replacing a primary that is in use. The primary and most VMs are cut off from
   * the store and the replicas, so that the primary's registration lapses while those VMs write to
   * it.
   */
  @Test
  void shouldNotStartWhenRegistrationIsMissingButMostVmsReachThePrimary() {
    fixture.answers.put(
        "vm-a", new PeerAnswer.Replied<>(new Vote("vm-a", "domain-i-1", "i-1", false)));
    fixture.answers.put(
        "vm-c", new PeerAnswer.Replied<>(new Vote("vm-c", "domain-i-3", "i-1", false)));
    fixture.crashPrimary();

    fixture.unregisterPrimary();
    checkFor(Targets.DROP_AFTER_MS + 400);

    assertFalse(fixture.store.hasLease());
  }

  /**
   * Guards against losing commits in a short partition. The primary and most VMs are cut off from
   * the store, the replicas and this VM. If the partition ends while the primary still leads, the
   * commits that those VMs have acknowledged are kept.
   */
  @Test
  void shouldNotStartWhenRegistrationHasJustLapsedAndOtherVmsAreSilent() {
    fixture.crashPrimary();

    fixture.unregisterPrimary();
    checkFor(Targets.DROP_AFTER_MS - 200);

    assertFalse(fixture.store.hasLease());
  }

  /** Guards against a lasting outage when the primary and two failure domains are lost. */
  @Test
  void shouldStartWhenRegistrationStaysMissingAndOtherVmsAreSilent() {
    fixture.crashPrimary();

    fixture.unregisterPrimary();
    checkFor(Targets.DROP_AFTER_MS + 400);

    assertTrue(fixture.store.hasLease());
  }

  private void checkFor(long durationMs) {
    for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
      fixture.watch.checkPrimaries();
      fixture.group.scheduler.advanceMs(50);
    }
  }

  /** Guards against waiting for votes of VMs that were just killed and still count as running. */
  @Test
  void shouldStartWhileRegisteredWhenNoProcessListensOnTheOtherVm() {
    fixture.answers.put("vm-a", new PeerAnswer.Absent<>());
    fixture.store.votes.add(new Vote("vm-c", "domain-i-3", "i-1", true));

    fixture.crashPrimary();
    fixture.watch.checkPrimaries();
    fixture.group.scheduler.advanceMs(150);
    fixture.watch.checkPrimaries();

    assertFalse(fixture.group.links.to("i-3").isEmpty());
  }

  @Test
  void shouldVotePresentForPeersWhenThePrimaryHasJustAnswered() {
    assertEquals(Optional.of(new Vote("vm-b", "domain-i-2", "i-1", false)), voteAfterAnswer());
  }

  private Optional<Vote> voteAfterAnswer() {
    fixture.watch.checkPrimaries();
    fixture.group.targets.find("i-1").orElseThrow().recordAnswer(fixture.group.scheduler.nowMs());
    return fixture.watch.currentVote(TestTargets.SERVICE, "i-1");
  }

  @Test
  void shouldNotOrderWhenAnotherProcessHoldsTheLease() {
    fixture.store.lease =
        Optional.of(new Lease("vm-a-1", "i-1", 9, fixture.group.scheduler.nowMs() + 1_000));

    startRun();

    assertTrue(fixture.group.links.to("i-3").isEmpty());
    assertTrue(fixture.orders.isEmpty());
  }

  @Test
  void shouldNotOrderWhenTheLeaseIsNotAcquired() {
    fixture.store.leaseTaken = true;

    startRun();

    assertTrue(fixture.orders.isEmpty());
  }

  @Test
  void shouldOrderAnotherTargetUnderNewTokenWhenTheFirstIsRejected() {
    runUntilPromotionOrdered();

    fixture.orders.getFirst().done().accept(REJECTED);
    fixture.group.scheduler.advanceMs(200);
    fixture.answerStatus("i-2", 7);

    assertEquals("i-2", fixture.orders.getLast().target());
    assertTrue(fixture.orders.getLast().token() > fixture.orders.getFirst().token());
  }

  @Test
  void shouldOrderTheSameTargetUnderTheSameTokenWhenTheAnswerIsLost() {
    runUntilPromotionOrdered();

    fixture.orders.getFirst().done().accept(UNKNOWN);
    fixture.group.scheduler.advanceMs(200);

    assertEquals(2, fixture.orders.size());
    assertEquals("i-3", fixture.orders.getLast().target());
    assertEquals(fixture.orders.getFirst().token(), fixture.orders.getLast().token());
  }

  @Test
  void shouldNotOrderAgainWhenTheServiceGetsPrimaryMeanwhile() {
    runUntilPromotionOrdered();
    fixture.group.targets.update(
        List.of(
            TestTargets.target("i-1", true, 1),
            TestTargets.target("i-2", false, 2),
            TestTargets.target("i-3", true, 8)));
    fixture.watch.checkPrimaries();

    fixture.orders.getFirst().done().accept(UNKNOWN);
    fixture.group.scheduler.advanceMs(1_000);

    assertEquals(1, fixture.orders.size());
  }

  @Test
  void shouldStepDownThePrimaryAndAwaitCatchUpBeforePromotionWhenItIsLeaving() {
    fixture.group.targets.update(
        List.of(
            TestTargets.leaving(TestTargets.target("i-1", true, 1), 5),
            TestTargets.target("i-2", false, 2),
            TestTargets.target("i-3", false, 3)));
    fixture.watch.checkPrimaries();
    fixture.group.links.last("i-1").greet();
    fixture.group.links.last("i-1").done(TransactionState.OPEN, 1, 9);
    fixture.group.links.last("i-1").done(TransactionState.NONE, 1, 9);
    fixture.group.scheduler.advanceMs(300);
    fixture.watch.checkPrimaries();

    assertEquals(
        List.of(new TargetCommand.StepDown(2)),
        fixture.group.links.last("i-1").unanswered().stream()
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

  /**
   * Guards against losing commits when only some VMs reach a leaving primary: those that do can
   * tell it to step down.
   */
  @Test
  void shouldDelayTheReplacementWhenTheLeavingPrimaryIsUnreachable() {
    fixture.crashPrimary();
    fixture.group.targets.update(
        List.of(
            TestTargets.leaving(TestTargets.target("i-1", true, 1), 5),
            TestTargets.target("i-2", false, 2),
            TestTargets.target("i-3", false, 3)));
    fixture.watch.checkPrimaries();
    fixture.group.scheduler.advanceMs(900);
    fixture.watch.checkPrimaries();
    assertTrue(fixture.group.links.to("i-3").isEmpty());

    fixture.group.scheduler.advanceMs(500);
    fixture.watch.checkPrimaries();
    fixture.group.scheduler.advanceMs(400);

    assertFalse(fixture.group.links.to("i-3").isEmpty());
  }

  @Test
  void shouldStopReplicationAndNeedAllReplicasWhenCommitsAreSynchronous() {
    fixture.group.targets.divideConnections(
        Map.of(TestTargets.SERVICE, new ServiceLimits(21, 1)), fixture.store.liveVms().size());
    startRun();
    fixture.answerStatus("i-2", 7);
    TargetCommand sent = fixture.group.links.last("i-3").greet().unanswered().getFirst();
    assertEquals(new TargetCommand.StopReceiving(1), sent);

    List<TargetCommand> later = new ArrayList<>();
    for (int step = 0; step < 60; step++) {
      fixture.group.scheduler.advanceMs(25);
      later.addAll(fixture.answerAll("i-2", 7));
    }

    assertTrue(fixture.orders.isEmpty());
    assertTrue(later.contains(new TargetCommand.ResumeReceiving()));
  }

  @Test
  void shouldOrderMostAdvancedReplicaWhenAllSynchronousReplicasAnswer() {
    fixture.group.targets.divideConnections(
        Map.of(TestTargets.SERVICE, new ServiceLimits(21, 1)), fixture.store.liveVms().size());
    runUntilPromotionOrdered();

    assertEquals("i-3", fixture.orders.getFirst().target());
  }

  @Test
  void shouldVotePresentWhenAnotherVmReportsThePrimaryGone() {
    fixture.watch.checkPrimaries();
    fixture.group.links.last("i-1").greet();
    fixture.group.links.last("i-1").done(TransactionState.OPEN, 1, 9);
    fixture.group.links.last("i-1").done(TransactionState.NONE, 1, 9);
    fixture.othersVote(true);

    fixture.watch.checkPrimaries();

    assertEquals(1, fixture.store.ownVotes.size());
    assertFalse(fixture.store.ownVotes.getFirst().gone());
  }

  /** Guards against missing a failed primary to which no connection was open. */
  @Test
  void shouldVoteGoneWhenTheConnectionIsNotAccepted() {
    fixture.group.run(new ReadRule.Latest(), DispatchFixture.read());

    fixture.group.scheduler.advanceMs(350);
    fixture.watch.checkPrimaries();

    assertTrue(fixture.store.ownVotes.getFirst().gone());
  }

  /** Guards against late detection of a primary that fails while a write is in flight. */
  @Test
  void shouldProbeThePrimaryWhenWriteIsOverdue() {
    fixture.group.overdueNotifier.setListener(fixture.watch::checkPrimaries);
    fixture.group.recordProvenPosition(1, 7);
    fixture.group.run(new ReadRule.Latest(), DispatchFixture.write());
    fixture.group.links.last("i-1").greet();

    fixture.group.scheduler.advanceMs(130);
    assertEquals(2, fixture.group.links.to("i-1").size());
    fixture.group.scheduler.advanceMs(350);
    fixture.watch.checkPrimaries();

    assertTrue(fixture.store.ownVotes.getFirst().gone());
  }

  @Test
  void shouldBeIsolatedOnlyWhenStoreAndPrimaryAreUnreachable() {
    fixture.crashPrimary();
    fixture.group.scheduler.advanceMs(1_000);
    fixture.watch.checkPrimaries();
    assertFalse(fixture.watch.isIsolated());

    fixture.store.reachable = false;
    fixture.watch.checkPrimaries();
    fixture.group.scheduler.advanceMs(400);
    assertTrue(fixture.watch.isIsolated());

    fixture.store.reachable = true;
    fixture.watch.checkPrimaries();
    assertFalse(fixture.watch.isIsolated());
  }

  /** Guards against missing a promotion by another VM while the store is unreachable. */
  @Test
  void shouldAskTargetsForThePrimaryWhenTheKnownOneIsGone() {
    fixture.crashPrimary();
    fixture.othersVote(false);
    fixture.watch.checkPrimaries();
    fixture.group.scheduler.advanceMs(1_500);
    fixture.watch.checkPrimaries();

    assertTrue(
        fixture.group.links.last("i-3").greet().unanswered().stream()
            .anyMatch(command -> command instanceof TargetCommand.AskStatus));
  }

  @Test
  void shouldAskTargetsForThePrimaryWhenNoneIsKnown() {
    fixture.group.targets.update(
        List.of(TestTargets.target("i-2", false, 2), TestTargets.target("i-3", false, 3)));
    fixture.group.scheduler.advanceMs(Targets.DROP_AFTER_MS);

    fixture.watch.checkPrimaries();

    assertEquals(
        List.of(new TargetCommand.AskStatus()),
        fixture.group.links.last("i-2").greet().unanswered());
  }
}
