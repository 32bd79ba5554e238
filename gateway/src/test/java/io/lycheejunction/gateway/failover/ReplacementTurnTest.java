package io.lycheejunction.gateway.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.gateway.lease.PrimaryLeases;
import io.lycheejunction.gateway.lease.PrimaryUse;
import io.lycheejunction.gateway.lease.ReleaseReply;
import io.lycheejunction.gateway.lease.VoterSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against VMs that wait for another one which does not replace the primary. */
class ReplacementTurnTest {
  private static final long NOW_MS = 100_000;
  private static final long ASK_INTERVAL_MS = 100;

  private final ReplacementTurn turn = new ReplacementTurn("ledger");

  /** A VM that does not reach the store asks again and again, and never gets the lease. */
  @Test
  void shouldHoldBackOnlyOnceWhenTheOtherVmAsksAgainAndAgain() {
    for (long ms = 0; ms < ReplacementTurn.PROGRESS_MS; ms += ASK_INTERVAL_MS) {
      turn.onReleased("vm-a", NOW_MS + ms);
      assertFalse(turn.isDue(0, true, false, NOW_MS + ms));
    }

    long freeMs = NOW_MS + ReplacementTurn.PROGRESS_MS;
    turn.onReleased("vm-a", freeMs);
    turn.isDue(0, true, false, freeMs);

    assertTrue(turn.isDue(0, true, false, freeMs + ReplacementTurn.SETTLING_MS));
  }

  @Test
  void shouldStartAfterItsPredecessorsWhenTheOtherVmWithdraws() {
    turn.onReleased("vm-a", NOW_MS);
    assertFalse(turn.isDue(1, true, false, NOW_MS));
    turn.onWithdrawn("vm-a");

    long dueMs = NOW_MS + ReplacementTurn.SETTLING_MS + ReplacementTurn.STEP_MS;

    assertFalse(turn.isDue(1, true, false, dueMs - 1));
    assertTrue(turn.isDue(1, true, false, dueMs));
  }

  /**
   * Failure: holders refuse while the answer of the store about the failover lease is late. The
   * lease would name the primary as being replaced for 3 s, though nobody replaces it.
   */
  @Test
  void shouldWithdrawTheLeaseWhenItIsAnsweredAfterTheReleaseWasDenied() {
    Map<String, String> vms =
        Map.of("vm-a", "domain-i-1", "vm-b", "domain-i-2", "vm-c", "domain-i-3");
    PrimaryLeases leases = new PrimaryLeases(() -> VoterSet.of(vms));
    FailoverFixture fixture = new FailoverFixture(new PrimaryUse.Leased(leases));
    fixture.releaseAtOnce("vm-a");
    fixture.releaseAtOnce("vm-c");
    for (String vm : List.of("vm-d", "vm-e", "vm-f", "vm-g")) {
      fixture.store.liveVms.put(vm, "domain-" + vm);
      fixture.store.votes.add(new Vote(vm, "domain-" + vm, "i-1", true));
      fixture.leaseClient.releases.put(vm, ReleaseReply.refused(vm));
    }
    fixture.store.withholdsLeases = true;
    fixture.crashPrimary();
    fixture.othersVote(true);
    fixture.watch.start();
    fixture.group.scheduler.advanceMs(2_500);
    final long requested = fixture.store.nextToken;
    assertTrue(fixture.leaseClient.toldToResume.contains("vm-a"));

    fixture.store.answerLeases();

    assertTrue(requested > 10);
    assertEquals(requested + (requested - 10), fixture.store.nextToken);
    assertTrue(fixture.orders.isEmpty());
  }
}
