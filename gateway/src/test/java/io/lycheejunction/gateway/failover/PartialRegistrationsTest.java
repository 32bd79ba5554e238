package io.lycheejunction.gateway.failover;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.gateway.peer.PeerAnswer;
import io.lycheejunction.gateway.target.Endpoint;
import io.lycheejunction.gateway.target.Target;
import io.lycheejunction.gateway.target.Targets;
import org.junit.jupiter.api.Test;

/**
 * Failure: a process started while the registrations of a service had lapsed, as the store had been
 * down. It read a replica's registration first, knew no primary, and replaced by itself the primary
 * that all other VMs reached. Commits that the replica had not received were lost.
 */
class PartialRegistrationsTest {
  private static final String SERVICE = "routes";
  private static final long STEP_MS = 50;
  private static final Target REPLICA = target("j-3", false, 3);

  private final FailoverFixture fixture = new FailoverFixture();

  private static Target target(String id, boolean primary, long revision) {
    Endpoint endpoint = new Endpoint("10.0.0.1", 1);
    return new Target(
        id, 1, revision, SERVICE, endpoint, "domain-" + id, 3, false, primary, revision);
  }

  private void othersReach(String primary) {
    fixture.answers.put("vm-a", reaches("vm-a", "domain-i-1", primary));
    fixture.answers.put("vm-c", reaches("vm-c", "domain-i-3", primary));
  }

  private static PeerAnswer<Vote> reaches(String vm, String domain, String primary) {
    return new PeerAnswer.Replied<>(new Vote(vm, domain, primary, false));
  }

  private void checkFor(long durationMs) {
    for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      fixture.watch.checkPrimaries();
      fixture.group.scheduler.advanceMs(STEP_MS);
    }
  }

  @Test
  void shouldNotReplaceThePrimaryWhenOtherVmsReachIt() {
    othersReach("j-1");

    fixture.register(REPLICA);
    checkFor(2 * Targets.DROP_AFTER_MS);

    assertFalse(fixture.store.hasLease());
  }

  @Test
  void shouldNotReplaceThePrimaryWhenOneOtherVmReachesItAndAnotherKnowsNone() {
    fixture.answers.put("vm-a", reaches("vm-a", "domain-i-1", "j-1"));
    fixture.answers.put("vm-c", new PeerAnswer.Replied<>(new Vote("vm-c", "domain-i-3", "", true)));

    fixture.register(REPLICA);
    checkFor(2 * Targets.DROP_AFTER_MS);

    assertFalse(fixture.store.hasLease());
  }

  /** All processes have started a moment ago, so that none of them knows the primary. */
  @Test
  void shouldNotReplaceThePrimaryWhileItsRegistrationMayReturnAndNoVmKnowsIt() {
    fixture.answers.put("vm-a", new PeerAnswer.Replied<>(new Vote("vm-a", "domain-i-1", "", true)));
    fixture.answers.put("vm-c", new PeerAnswer.Replied<>(new Vote("vm-c", "domain-i-3", "", true)));

    fixture.register(REPLICA);
    checkFor(Targets.DROP_AFTER_MS - 2 * STEP_MS);

    assertFalse(fixture.store.hasLease());
  }

  @Test
  void shouldNotReplaceThePrimaryWhenItsRegistrationReturns() {
    fixture.register(REPLICA);
    checkFor(Targets.DROP_AFTER_MS - 10 * STEP_MS);

    fixture.register(REPLICA, target("j-1", true, 5));
    fixture.handle("j-1").recordPrimary(1);
    fixture.handle("j-1").recordAnswer(fixture.group.scheduler.nowMs());
    fixture.watch.checkPrimaries();

    assertFalse(fixture.store.hasLease());
    assertTrue(fixture.group.targets.primaryOf(SERVICE).isPresent());
  }

  /** A VM that had missed a promotion lost the first primary's registration in the same way. */
  @Test
  void shouldNotReplaceTheSuccessorWhenTheRegistrationOfTheFirstPrimaryIsDropped() {
    fixture.register(REPLICA, target("j-1", true, 2));
    checkFor(STEP_MS);
    othersReach("j-2");

    fixture.register(REPLICA);
    checkFor(2 * Targets.DROP_AFTER_MS);

    assertFalse(fixture.store.hasLease());
  }

  /** Guards against a lasting outage: the primary was lost before this VM started. */
  @Test
  void shouldPromoteReplicaWhenNoPrimaryRegistersAndNoVmReachesOne() {
    fixture.register(REPLICA);

    checkFor(Targets.DROP_AFTER_MS + 10 * STEP_MS);

    assertTrue(fixture.store.hasLease());
  }
}
