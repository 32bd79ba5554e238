package io.lycheejunction.gateway.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.gateway.lease.KnownPrimary;
import io.lycheejunction.gateway.lease.PrimaryLeases;
import io.lycheejunction.gateway.lease.PrimaryUse;
import io.lycheejunction.gateway.lease.ReleaseReply;
import io.lycheejunction.gateway.lease.VoterSet;
import io.lycheejunction.gateway.target.Endpoint;
import io.lycheejunction.gateway.target.Target;
import io.lycheejunction.gateway.target.TestTargets;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Failure: a primary crashed, and its successor crashed as soon as it led, before any VM had its
 * term confirmed. VMs replaced the first primary once more, so their releases did not cover the
 * successor; it came back, was used, and acknowledged writes after a second promotion.
 */
class SuccessorCrashTest {
  private static final String SERVICE = TestTargets.SERVICE;
  private static final Map<String, String> VMS =
      Map.of("vm-a", "domain-i-1", "vm-b", "domain-i-2", "vm-c", "domain-i-3");

  private final PrimaryLeases leases = new PrimaryLeases(() -> VoterSet.of(VMS));
  private final FailoverFixture fixture = new FailoverFixture(new PrimaryUse.Leased(leases));

  /**
   * The first primary crashes in its confirmed term, and the registration of i-3 claims its role.
   */
  private void promoteSuccessor() {
    fixture.handle("i-1").recordPrimary(1);
    fixture.watch.checkPrimaries();
    fixture.crashPrimary();
    fixture.othersVote(true);
    fixture.register(
        TestTargets.target("i-1", true, 1),
        TestTargets.target("i-2", false, 2),
        TestTargets.target("i-3", true, 9));
  }

  private void crashSuccessor() {
    fixture.refuseConnections("i-3");
    fixture.refuseConnections("i-1");
    fixture.watch.checkPrimaries();
  }

  private void restartSuccessor() {
    fixture.register(
        TestTargets.target("i-1", true, 1),
        TestTargets.target("i-2", false, 2),
        new Target(
            "i-3", 2, 1, SERVICE, new Endpoint("10.0.0.1", 1), "domain-i-3", 3, false, true, 12));
  }

  @Test
  void shouldReplaceTheSuccessorWhenItCrashesBeforeItsTermIsConfirmed() {
    promoteSuccessor();

    crashSuccessor();

    assertEquals("i-3", fixture.group.targets.primaryOf(SERVICE).orElseThrow().target().id());
  }

  @Test
  void shouldNotCountVotesOnTheFirstPrimaryWhenItsSuccessorIsGone() {
    fixture.releaseAtOnce("vm-a");
    fixture.releaseAtOnce("vm-c");
    promoteSuccessor();

    crashSuccessor();
    fixture.group.scheduler.advanceMs(100);
    fixture.watch.checkPrimaries();

    assertFalse(fixture.store.hasLease());
    assertEquals("i-3", fixture.store.ownVotes.getLast().primary());
  }

  /** The VM that replaces the first primary has not read of its successor, but this VM has. */
  @Test
  void shouldNotGrantTheReturningSuccessorWhenItHasReleasedTheFirstPrimary() {
    promoteSuccessor();
    crashSuccessor();

    ReleaseReply reply = fixture.watch.release(SERVICE, "i-1", "vm-a");
    restartSuccessor();

    assertTrue(reply.released());
    KnownPrimary known = fixture.watch.grantLeases("vm-c").primaries().getFirst();
    assertEquals("i-3", known.primary());
    assertFalse(known.granted());
  }
}
