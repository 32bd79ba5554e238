package io.lycheejunction.gateway.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.gateway.lease.KnownPrimary;
import io.lycheejunction.gateway.lease.PrimaryLeases;
import io.lycheejunction.gateway.lease.PrimaryUse;
import io.lycheejunction.gateway.lease.VoterSet;
import io.lycheejunction.gateway.link.FakeLinks.FakeLink;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.target.TestTargets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Failure: a primary was cut off and replaced, and its successor failed. When the cut ended, the
 * first primary still claimed its role, as it could not reach its successor. VMs used it again, and
 * it acknowledged writes in its old term.
 */
class ReplacedPrimaryReturnsTest {
  private static final String SERVICE = TestTargets.SERVICE;
  private static final long OFFSET = 7;
  private static final int STEPS = 60;
  private static final long STEP_MS = 10;
  private static final Map<String, String> VMS =
      Map.of("vm-a", "domain-i-1", "vm-b", "domain-i-2", "vm-c", "domain-i-3");

  private final PrimaryLeases leases = new PrimaryLeases(() -> VoterSet.of(VMS));
  private final FailoverFixture fixture = new FailoverFixture(new PrimaryUse.Leased(leases));

  private long now() {
    return fixture.group.scheduler.nowMs();
  }

  private String primary() {
    return fixture.group.targets.primaryOf(SERVICE).orElseThrow().target().id();
  }

  /** Replaces i-1 by i-3, whose registration claims the role. */
  private void replaceFirstPrimary() {
    fixture.handle("i-1").recordPrimary(1);
    fixture.watch.checkPrimaries();
    fixture.refuseConnections("i-1");
    fixture.register(
        TestTargets.target("i-1", true, 1),
        TestTargets.target("i-2", false, 2),
        TestTargets.target("i-3", true, 9));
  }

  /** The successor fails, and the first primary is reached again. */
  private void swapReachability() {
    fixture.refuseConnections("i-3");
    fixture.handle("i-1").recordAnswer(now());
    fixture.watch.checkPrimaries();
  }

  private KnownPrimary known() {
    return fixture.watch.grantLeases("vm-c").primaries().getFirst();
  }

  /** Answers all status commands: i-1 still leads term 1, and i-2 has heard of term 2. */
  private List<TargetCommand> answerStatuses() {
    List<TargetCommand> ofFirstPrimary = new ArrayList<>();
    for (FakeLink link : fixture.group.links.opened()) {
      if (!link.isClosed() && !link.targetId().equals("i-3")) {
        link.greet();
        while (!link.unanswered().isEmpty()) {
          boolean first = link.targetId().equals("i-1");
          TargetCommand answered =
              first
                  ? link.statusOfPrimary(1, OFFSET)
                  : link.done(TransactionState.NONE, 2, OFFSET - 1);
          if (first) {
            ofFirstPrimary.add(answered);
          }
        }
      }
    }
    return ofFirstPrimary;
  }

  @Test
  void shouldNotUseTheReplacedPrimaryWhenItsSuccessorIsGone() {
    replaceFirstPrimary();
    fixture.handle("i-3").recordPrimary(2);

    swapReachability();

    assertEquals("i-3", primary());
    assertFalse(known().granted());
    assertEquals("i-3", fixture.store.ownVotes.getLast().primary());
  }

  /** The successor failed before its term was confirmed, so the others have to be asked. */
  @Test
  void shouldGrantNoLeaseUntilAllTargetsWereAsked() {
    replaceFirstPrimary();

    swapReachability();

    assertFalse(known().granted());
  }

  @Test
  void shouldNotUseThePrimaryOfAnOlderTermThanReplicasKnow() {
    replaceFirstPrimary();

    swapReachability();
    answerStatuses();
    fixture.group.scheduler.advanceMs(300);

    assertEquals("i-3", primary());
    assertFalse(known().granted());
  }

  /** A registration may be out of date, so the primary is used if nobody knows a newer term. */
  @Test
  void shouldUseThePrimaryWhenNoTargetKnowsNewerTerm() {
    replaceFirstPrimary();
    fixture.group.scheduler.advanceMs(3_100);

    swapReachability();
    for (FakeLink link : List.copyOf(fixture.group.links.to("i-1"))) {
      link.greet();
      while (!link.unanswered().isEmpty()) {
        link.statusOfPrimary(3, OFFSET);
      }
    }
    fixture.group.scheduler.advanceMs(300);

    assertEquals("i-1", primary());
    assertTrue(known().granted());
  }

  @Test
  void shouldPromoteReplicaAndStepDownTheReplacedPrimaryWhenTheSuccessorIsGone() {
    replaceFirstPrimary();
    fixture.handle("i-3").recordPrimary(2);
    swapReachability();
    fixture.releaseAtOnce("vm-a");
    fixture.releaseAtOnce("vm-c");
    fixture.store.votes.add(new Vote("vm-a", "domain-i-1", "i-3", true));
    fixture.store.votes.add(new Vote("vm-c", "domain-i-3", "i-3", true));
    List<TargetCommand> ofFirstPrimary = new ArrayList<>();

    for (int step = 0; step < STEPS && fixture.orders.isEmpty(); step++) {
      fixture.refuseConnections("i-3");
      fixture.watch.checkPrimaries();
      ofFirstPrimary.addAll(answerStatuses());
      fixture.group.scheduler.advanceMs(STEP_MS);
    }
    ofFirstPrimary.addAll(answerStatuses());

    assertEquals("i-2", fixture.orders.getFirst().target());
    assertTrue(ofFirstPrimary.stream().anyMatch(TargetCommand.StepDown.class::isInstance));
  }
}
