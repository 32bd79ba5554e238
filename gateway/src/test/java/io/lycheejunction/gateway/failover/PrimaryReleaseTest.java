package io.lycheejunction.gateway.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.clock.SuspensionCheck;
import io.lycheejunction.gateway.lease.KnownPrimary;
import io.lycheejunction.gateway.lease.LeaseGrants;
import io.lycheejunction.gateway.lease.LeaseReply;
import io.lycheejunction.gateway.lease.PrimaryLeases;
import io.lycheejunction.gateway.lease.PrimaryUse;
import io.lycheejunction.gateway.lease.ReleaseReply;
import io.lycheejunction.gateway.lease.VoterSet;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.target.TestTargets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/**
 * A primary that was replaced goes on until it is told to step down, and VMs that are cut off
 * together with it would go on to use it. So it is replaced only when no VM holds a lease on it.
 */
class PrimaryReleaseTest {
  private static final String SERVICE = TestTargets.SERVICE;
  private static final long OTHER_LEASE_MS = PrimaryLeases.DURATION_MS + 100;
  private static final long MAX_WAIT_MS = 3_000;
  private static final long HOLDERS_OUTDATED_MS = 10_200;
  private static final long STEP_MS = 10;
  private static final Map<String, String> VMS =
      Map.of("vm-a", "domain-i-1", "vm-b", "domain-i-2", "vm-c", "domain-i-3");

  private final PrimaryLeases leases = new PrimaryLeases(() -> VoterSet.of(VMS));
  private final FailoverFixture fixture = new FailoverFixture(new PrimaryUse.Leased(leases));
  private OptionalLong firstReleaseMs = OptionalLong.empty();

  private void holdLease() {
    long nowMs = fixture.group.scheduler.nowMs();
    VMS.keySet().forEach(vm -> leases.recordGrant(vm, SERVICE, "i-1", nowMs));
  }

  private boolean holdsLease() {
    return leases.isHeld(SERVICE, "i-1", fixture.group.scheduler.nowMs());
  }

  private void releases(String vm, Map<String, Long> remainingMs) {
    fixture.leaseClient.releases.put(vm, new ReleaseReply(vm, true, true, remainingMs));
  }

  private void refuses(String vm) {
    fixture.leaseClient.releases.put(vm, ReleaseReply.refused(vm));
  }

  private void recordRelease() {
    if (firstReleaseMs.isEmpty()) {
      firstReleaseMs = OptionalLong.of(fixture.group.scheduler.nowMs());
    }
  }

  /** Returns the time since VMs were first asked to release the primary. */
  private long sinceReleaseMs() {
    return fixture.group.scheduler.nowMs() - firstReleaseMs.orElseThrow();
  }

  private void startRun() {
    Runnable onRelease = fixture.leaseClient.onRelease;
    fixture.leaseClient.onRelease =
        () -> {
          recordRelease();
          onRelease.run();
        };
    fixture.crashPrimary();
    fixture.othersVote(true);
    fixture.watch.checkPrimaries();
    fixture.group.scheduler.advanceMs(150);
    fixture.watch.checkPrimaries();
  }

  /** Answers status commands until a promotion is ordered, and returns how long that took. */
  private long answerStatusesUntilOrdered() {
    long startMs = fixture.group.scheduler.nowMs();
    while (fixture.orders.isEmpty() && fixture.group.scheduler.nowMs() < startMs + MAX_WAIT_MS) {
      for (String replica : List.of("i-2", "i-3")) {
        if (!fixture.group.links.to(replica).isEmpty()) {
          fixture.group.links.last(replica).greet();
          fixture.answerAll(replica, 7);
        }
      }
      fixture.group.scheduler.advanceMs(STEP_MS);
    }
    return fixture.group.scheduler.nowMs() - startMs;
  }

  private void reachPrimary() {
    fixture.watch.checkPrimaries();
    fixture.group.links.last("i-1").greet().done(TransactionState.OPEN, 1, 5);
    fixture.group.links.last("i-1").done(TransactionState.NONE, 1, 5);
    fixture.group.scheduler.advanceMs(PrimaryLeases.DURATION_MS);
  }

  /** Guards against a longer failover where nothing is cut off: all VMs agree at once. */
  @Test
  void shouldOrderAtOnceWhenAllVmsHaveReleasedThePrimary() {
    releases("vm-a", Map.of("vm-b", OTHER_LEASE_MS, "vm-c", OTHER_LEASE_MS));
    releases("vm-c", Map.of("vm-a", OTHER_LEASE_MS));

    startRun();

    assertTrue(answerStatusesUntilOrdered() <= 2 * STEP_MS);
    assertEquals(1, fixture.orders.size());
  }

  /** Guards against two primaries in use: one VM is cut off from this one but not from i-1. */
  @Test
  void shouldOrderOnlyAfterLeasesOfSilentVmsHaveExpired() {
    releases("vm-c", Map.of("vm-a", OTHER_LEASE_MS));

    startRun();
    answerStatusesUntilOrdered();
    final long waitedMs = sinceReleaseMs();

    assertEquals(1, fixture.orders.size());
    assertTrue(waitedMs > OTHER_LEASE_MS, "waited " + waitedMs);
  }

  /**
   * Guards against two primaries in use: the holder of a lease was suspended so shortly that it
   * does not notice, and its clock lacks that time.
   */
  @Test
  void shouldOrderOnlyAfterLeasesOfBrieflySuspendedVmsHaveExpired() {
    releases("vm-c", Map.of("vm-a", OTHER_LEASE_MS));

    startRun();
    answerStatusesUntilOrdered();
    final long waitedMs = sinceReleaseMs();

    assertTrue(waitedMs > OTHER_LEASE_MS + SuspensionCheck.TOLERANCE_MS, "waited " + waitedMs);
  }

  /** A VM may also rely on a read of the store from just before the failover lease was taken. */
  @Test
  void shouldWaitForReadsOfTheStoreWhenSilentVmHasNoGrantedLease() {
    releases("vm-c", Map.of());

    startRun();
    answerStatusesUntilOrdered();
    final long waitedMs = sinceReleaseMs();

    assertEquals(1, fixture.orders.size());
    assertTrue(waitedMs > PrimaryLeases.STORE_READ_VALID_MS, "waited " + waitedMs);
  }

  /**
   * Guards against two primaries in use: this VM's read of the holders is so old that it may not
   * know one which has come to rely on the store. The connection of the next read had gone silent.
   */
  @Test
  void shouldWaitForReadsOfTheStoreWhenItMayNotKnowAllHolders() {
    releases("vm-a", Map.of());
    releases("vm-c", Map.of());
    fixture.voters.ageMs = HOLDERS_OUTDATED_MS;

    startRun();
    answerStatusesUntilOrdered();
    final long waitedMs = sinceReleaseMs();

    assertEquals(1, fixture.orders.size());
    assertTrue(waitedMs > PrimaryLeases.STORE_READ_VALID_MS, "waited " + waitedMs);
  }

  /**
   * Load: a failure domain is cut off together with a primary. The other VMs waited for the answers
   * of the silent ones, one step after the other, before they named the replacement in the store.
   */
  @Test
  void shouldTakeTheLeaseWithoutWaitingForSilentVmsWhenQuorumHasReleased() {
    fixture.leaseClient.unanswered.add("vm-a");
    releases("vm-c", Map.of());

    startRun();
    answerStatusesUntilOrdered();

    assertEquals(1, fixture.orders.size());
    long limitMs = PrimaryLeases.STORE_READ_VALID_MS + ReleaseRound.CLOCK_MARGIN_MS + 2 * STEP_MS;
    assertTrue(sinceReleaseMs() <= limitMs, "waited " + sinceReleaseMs());
  }

  /** The vote of a VM that is cut off is not waited for, since the release asks that VM too. */
  @Test
  void shouldStartWithoutTheVoteOfSilentVmWhenMajorityHasVoted() {
    fixture.withholdAnswers = true;
    fixture.leaseClient.unanswered.add("vm-a");
    releases("vm-c", Map.of());
    fixture.crashPrimary();
    fixture.store.votes.add(new Vote("vm-c", "domain-i-3", "i-1", true));

    fixture.watch.checkPrimaries();

    assertTrue(fixture.store.hasLease());
  }

  /**
   * Load: a primary goes dark, and VMs notice it some 50 ms apart. One that has not noticed refused
   * once, and the replacement was tried again only 400 ms later.
   */
  @Test
  void shouldAskAgainWhenVmHasNotNoticedTheFailureYet() {
    refuses("vm-a");
    refuses("vm-c");
    startRun();
    assertFalse(fixture.store.hasLease());

    releases("vm-a", Map.of());
    releases("vm-c", Map.of());
    fixture.group.scheduler.advanceMs(ReleaseRound.RETRY_INTERVAL_MS);

    assertTrue(fixture.store.hasLease());
  }

  /** Guards against a needless promotion: most VMs still reach the primary. */
  @Test
  void shouldNotOrderWhenMoreVmsReachThePrimaryThanReleaseIt() {
    releases("vm-c", Map.of());
    for (String vm : List.of("vm-a", "vm-d", "vm-e")) {
      fixture.store.liveVms.put(vm, "domain-i-1");
      refuses(vm);
    }

    startRun();
    answerStatusesUntilOrdered();

    assertTrue(fixture.orders.isEmpty());
    assertTrue(fixture.leaseClient.toldToResume.contains("vm-c"));
  }

  /** Guards against a needless promotion: a primary that was only slow answers again. */
  @Test
  void shouldGiveVmsTimeToObjectWhenAllHaveReleasedAtOnce() {
    releases("vm-a", Map.of());
    releases("vm-c", Map.of());
    startRun();
    fixture.group.targets.find("i-1").orElseThrow().recordAnswer(fixture.group.scheduler.nowMs());

    answerStatusesUntilOrdered();

    assertTrue(fixture.orders.isEmpty());
  }

  /** Guards against a minority that replaces the primary of a majority. */
  @Test
  void shouldNotOrderWhenTooFewVmsReleaseThePrimary() {
    startRun();
    fixture.group.scheduler.advanceMs(5 * PrimaryLeases.DURATION_MS);

    assertTrue(fixture.orders.isEmpty());
    assertFalse(fixture.store.hasLease());
    assertTrue(fixture.voters.refreshes > 0);
  }

  @Test
  void shouldStopUsingAndGrantingThePrimaryWhenItReleasesIt() {
    reachPrimary();
    holdLease();
    assertTrue(fixture.watch.grantLeases("vm-a").primaries().getFirst().granted());
    fixture.crashPrimary();

    ReleaseReply reply = fixture.watch.release(SERVICE, "i-1", "vm-a");

    assertTrue(reply.released());
    assertFalse(holdsLease());
    assertFalse(fixture.watch.grantLeases("vm-c").primaries().getFirst().granted());
  }

  /**
   * Failure: a primary crashes, and starts again under another identifier while the promotion that
   * was ordered has not taken effect. It claimed its role, VMs used it under leases on the new
   * identifier, and writes were acknowledged by it after its successor had taken over.
   */
  @Test
  void shouldNotGrantPrimaryThatReturnsUnderAnotherIdentifierWhileItIsReplaced() {
    reachPrimary();
    fixture.crashPrimary();
    fixture.watch.release(SERVICE, "i-1", "vm-a");

    fixture.group.targets.update(
        List.of(
            TestTargets.target("i-9", true, 9),
            TestTargets.target("i-2", false, 2),
            TestTargets.target("i-3", false, 3)));
    fixture.watch.checkPrimaries();

    KnownPrimary known = fixture.watch.grantLeases("vm-c").primaries().getFirst();
    assertEquals("i-9", known.primary());
    assertFalse(known.granted());
  }

  @Test
  void shouldGrantTheSuccessorWhileThePrimaryIsReleased() {
    reachPrimary();
    fixture.crashPrimary();
    fixture.watch.release(SERVICE, "i-1", "vm-a");

    fixture.group.targets.update(
        List.of(TestTargets.target("i-2", true, 8), TestTargets.target("i-3", false, 3)));
    fixture.watch.checkPrimaries();

    KnownPrimary known = fixture.watch.grantLeases("vm-c").primaries().getFirst();
    assertEquals("i-2", known.primary());
    assertTrue(known.granted());
  }

  /** The leases that a VM has granted are what the replacement has to wait for. */
  @Test
  void shouldReportLeasesThatAreStillValidWhenItReleasesThePrimary() {
    reachPrimary();
    fixture.watch.grantLeases("vm-a");
    fixture.watch.checkPrimaries();
    fixture.group.scheduler.advanceMs(400);

    ReleaseReply reply = fixture.watch.release(SERVICE, "i-1", "vm-a");

    assertEquals(Map.of("vm-a", PrimaryLeases.DURATION_MS - 400), reply.remainingMs());
  }

  @Test
  void shouldNotReleaseThePrimaryWhenItAnswers() {
    fixture.group.scheduler.advanceMs(PrimaryLeases.DURATION_MS);
    fixture.watch.checkPrimaries();
    fixture.group.links.last("i-1").greet().done(TransactionState.OPEN, 1, 5);

    assertFalse(fixture.watch.release(SERVICE, "i-1", "vm-a").released());
  }

  /**
   * Guards against a VM that does not know the leases which were granted from its seat: it has just
   * started, or has taken the seat over.
   */
  @Test
  void shouldNotVoteForReleaseWhenItHasJustTakenItsSeat() {
    reachPrimary();
    fixture.crashPrimary();
    fixture.voters.seatAgeMs = OptionalLong.of(PrimaryLeases.DURATION_MS - 1);

    ReleaseReply reply = fixture.watch.release(SERVICE, "i-1", "vm-a");

    assertTrue(reply.released());
    assertFalse(reply.voter());
  }

  /** After a promotion the former primary still claims the role and still answers. */
  @Test
  void shouldUseTheSuccessorWhenAnotherVmHasProvenItsTerm() {
    fixture.group.targets.update(
        List.of(
            TestTargets.target("i-1", true, 1),
            TestTargets.target("i-2", true, 8),
            TestTargets.target("i-3", false, 3)));
    fixture.group.targets.find("i-1").orElseThrow().recordPrimary(1);
    fixture.watch.checkPrimaries();

    fixture.watch.onReported(new KnownPrimary(SERVICE, "i-2", 2, true));

    assertEquals("i-2", fixture.group.targets.primaryOf(SERVICE).orElseThrow().target().id());
  }

  /** Guards against a return to the former primary by a VM that has not heard of its successor. */
  @Test
  void shouldKeepTheSuccessorWhenAnotherVmStillKnowsTheFormerPrimary() {
    fixture.group.targets.find("i-2").orElseThrow().recordPrimary(2);
    fixture.watch.checkPrimaries();

    fixture.watch.onReported(new KnownPrimary(SERVICE, "i-1", 1, true));

    assertEquals("i-2", fixture.group.targets.primaryOf(SERVICE).orElseThrow().target().id());
  }

  @Test
  void shouldRecordTheGrantsThatItGives() {
    fixture.watch.checkPrimaries();

    LeaseReply reply = fixture.watch.grantLeases("vm-a");

    assertEquals("i-1", reply.primaries().getFirst().primary());
    assertEquals(
        Map.of("vm-a", PrimaryLeases.DURATION_MS),
        fixture.grants.remainingMs(SERVICE, fixture.group.scheduler.nowMs()));
    assertTrue(LeaseGrants.RELEASE_VALID_MS > PrimaryLeases.DURATION_MS);
  }

  /**
   * Guards against a needless promotion, which loses commits: a network cut ends while the run
   * waits for leases to expire.
   */
  @Test
  void shouldGiveUpAndLetOthersResumeWhenThePrimaryAnswersAgainBeforeTheOrder() {
    releases("vm-c", Map.of());
    startRun();

    fixture.group.scheduler.advanceMs(PrimaryLeases.STORE_READ_VALID_MS - sinceReleaseMs());
    fixture.group.targets.find("i-1").orElseThrow().recordAnswer(fixture.group.scheduler.nowMs());
    answerStatusesUntilOrdered();

    assertTrue(fixture.orders.isEmpty());
    assertTrue(fixture.leaseClient.toldToResume.contains("vm-c"));
    assertFalse(fixture.grants.isReleased(SERVICE, "i-1", fixture.group.scheduler.nowMs()));
  }

  /**
   * After a promotion the former primary still answers and still claims the role. Its registration
   * and the one of its successor do not tell which one leads; their own terms do.
   */
  @Test
  void shouldAskAllTargetsWhenTwoClaimToBePrimary() {
    reachPrimary();
    fixture.group.targets.update(
        List.of(
            TestTargets.target("i-1", true, 1),
            TestTargets.target("i-2", true, 8),
            TestTargets.target("i-3", false, 3)));
    fixture.group.targets.find("i-1").orElseThrow().recordPrimary(1);

    fixture.watch.checkPrimaries();

    assertFalse(fixture.group.links.to("i-2").isEmpty());
    assertFalse(fixture.group.links.to("i-3").isEmpty());
  }

  /** One unexpected error ended the watch, and no primary was replaced from then on. */
  @Test
  void shouldKeepCheckingWhenOneCheckFails() {
    fixture.store.failNextRead = true;
    assertThrows(IllegalStateException.class, fixture.watch::start);

    fixture.group.scheduler.advanceMs(1_000);

    assertFalse(fixture.group.links.to("i-1").isEmpty());
  }

  /** Guards against grants of a VM whose seat another VM may have taken. */
  @Test
  void shouldGrantNothingWhenItsSeatIsInDoubt() {
    reachPrimary();
    fixture.voters.seatAgeMs = OptionalLong.empty();

    assertTrue(fixture.watch.grantLeases("vm-a").primaries().isEmpty());
  }

  /** Guards against a quorum of VMs that have no seat any more. */
  @Test
  void shouldNotOrderWhenThoseThatHaveReleasedThePrimaryHaveNoSeat() {
    fixture.leaseClient.releases.put("vm-a", new ReleaseReply("vm-a", true, false, Map.of()));
    fixture.leaseClient.releases.put("vm-c", new ReleaseReply("vm-c", true, false, Map.of()));

    startRun();
    answerStatusesUntilOrdered();

    assertTrue(fixture.orders.isEmpty());
  }

  /**
   * Guards against two processes that order promotions in turn: while VMs are asked to release the
   * primary, another process acquires the failover lease.
   */
  @Test
  void shouldNotTakeTheLeaseThatAnotherProcessHasAcquiredMeanwhile() {
    releases("vm-a", Map.of());
    releases("vm-c", Map.of());
    fixture.leaseClient.onRelease =
        () ->
            fixture.store.lease =
                Optional.of(new Lease("vm-a-1", "i-1", 28, fixture.group.scheduler.nowMs()));

    startRun();

    assertFalse(fixture.store.hasLease());
    assertTrue(fixture.orders.isEmpty());
  }

  /**
   * Guards against two primaries in use: this VM froze while the replies were on their way, and
   * when it reads them the others may use the primary again.
   */
  @Test
  void shouldAskAgainWhenTheRepliesWereReadTooLate() {
    releases("vm-a", Map.of());
    releases("vm-c", Map.of());
    AtomicBoolean frozen = new AtomicBoolean();
    fixture.leaseClient.onRelease =
        () -> {
          if (frozen.compareAndSet(false, true)) {
            fixture.group.scheduler.advanceMs(LeaseGrants.RELEASE_VALID_MS + 500);
          }
        };

    startRun();
    answerStatusesUntilOrdered();

    assertEquals(1, fixture.orders.size());
    assertTrue(fixture.leaseClient.askedToRelease.size() > 2);
  }
}
