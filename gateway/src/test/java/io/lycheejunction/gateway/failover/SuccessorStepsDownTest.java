package io.lycheejunction.gateway.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.lease.KnownPrimary;
import io.lycheejunction.gateway.lease.PrimaryLeases;
import io.lycheejunction.gateway.lease.PrimaryUse;
import io.lycheejunction.gateway.lease.VoterSet;
import io.lycheejunction.gateway.link.FakeLinks.FakeLink;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.target.Target;
import io.lycheejunction.gateway.target.Targets;
import io.lycheejunction.gateway.target.TestTargets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Failure: a primary was cut off and replaced, and its successor stepped down for a planned
 * replacement when the cut ended. Nothing remembered the successor's term, so VMs used the first
 * primary again, which still claimed its role, and the run that was to promote the next one ended.
 */
class SuccessorStepsDownTest {
  private static final String SERVICE = TestTargets.SERVICE;
  private static final long OFFSET = 7;
  private static final int STEPS = 120;
  private static final long STEP_MS = 10;
  private static final Map<String, String> VMS =
      Map.of("vm-a", "domain-i-1", "vm-b", "domain-i-2", "vm-c", "domain-i-3");
  private static final Target FIRST = TestTargets.target("i-1", true, 1);
  private static final Target REPLICA = TestTargets.target("i-2", false, 2);
  private static final Target SUCCESSOR = TestTargets.target("i-3", true, 9);

  private final PrimaryLeases leases = new PrimaryLeases(() -> VoterSet.of(VMS));
  private final FailoverFixture fixture = new FailoverFixture(new PrimaryUse.Leased(leases));
  private final List<TargetCommand> toFirst = new ArrayList<>();
  private boolean successorLeads = true;
  private boolean firstIsCutOff;
  private boolean firstUsed;

  private long now() {
    return fixture.group.scheduler.nowMs();
  }

  private Optional<String> primary() {
    return fixture.group.targets.primaryOf(SERVICE).map(handle -> handle.target().id());
  }

  private boolean grantsPrimary() {
    return fixture.watch.grantLeases("vm-c").primaries().stream().anyMatch(KnownPrimary::granted);
  }

  /** The first primary is cut off, and i-3 is promoted and registers the role. */
  private void replaceFirstPrimary() {
    fixture.handle("i-1").recordPrimary(1);
    fixture.watch.checkPrimaries();
    fixture.refuseConnections("i-1");
    firstIsCutOff = true;
    fixture.register(FIRST, REPLICA, SUCCESSOR);
  }

  private void endCut() {
    firstIsCutOff = false;
    fixture.handle("i-1").recordAnswer(now());
  }

  /** The successor has stepped down, and registers that it is a replica. */
  private void registerSteppedDown() {
    successorLeads = false;
    Target replica = TestTargets.target("i-3", false, 12);
    fixture.register(FIRST, REPLICA, TestTargets.leaving(replica, 13));
  }

  /** Answers all commands: i-1 leads term 1, and the others know of term 2. */
  private void answerTargets() {
    for (FakeLink link : List.copyOf(fixture.group.links.opened())) {
      if (link.isClosed() || firstIsCutOff && link.targetId().equals("i-1")) {
        continue;
      }
      link.greet();
      while (!link.unanswered().isEmpty()) {
        boolean leads = link.targetId().equals("i-3") && successorLeads;
        if (link.targetId().equals("i-1")) {
          toFirst.add(link.statusOfPrimary(1, OFFSET));
        } else if (leads && !(link.unanswered().getFirst() instanceof TargetCommand.StepDown)) {
          link.statusOfPrimary(2, OFFSET);
        } else {
          successorLeads &= !leads;
          link.done(TransactionState.NONE, 2, OFFSET);
        }
      }
    }
  }

  private void run(int steps) {
    for (int step = 0; step < steps; step++) {
      fixture.watch.checkPrimaries();
      firstUsed |= primary().equals(Optional.of("i-1"));
      answerTargets();
      fixture.group.scheduler.advanceMs(STEP_MS);
    }
  }

  @Test
  void shouldNotUseTheReplacedPrimaryWhenItsSuccessorRegistersAsReplica() {
    replaceFirstPrimary();
    fixture.handle("i-3").recordPrimary(2);
    endCut();

    registerSteppedDown();

    assertEquals(Optional.empty(), primary());
    assertFalse(grantsPrimary());
  }

  @Test
  void shouldNotUseTheReplacedPrimaryWhenItsSuccessorRefusesWork() {
    replaceFirstPrimary();
    fixture.handle("i-3").recordPrimary(2);
    endCut();

    fixture.handle("i-3").recordFault(Fault.of(ResultCode.NOT_PRIMARY, "a replica"), now());

    assertEquals(Optional.empty(), primary());
  }

  @Test
  void shouldNotUseTheReplacedPrimaryWhenTheRegistrationOfItsSuccessorIsDropped() {
    replaceFirstPrimary();
    fixture.handle("i-3").recordPrimary(2);
    endCut();

    fixture.register(FIRST, REPLICA);
    fixture.group.scheduler.advanceMs(Targets.DROP_AFTER_MS);

    assertTrue(fixture.group.targets.find("i-3").isEmpty());
    assertEquals(Optional.empty(), primary());
  }

  /** No VM had the successor's term confirmed, so the targets have to be asked. */
  @Test
  void shouldGrantNoLeaseUntilTheTargetsWereAskedWhenTheTermOfTheSuccessorIsNotConfirmed() {
    replaceFirstPrimary();
    endCut();

    registerSteppedDown();

    assertFalse(grantsPrimary());
    run(2);
    assertEquals(Optional.empty(), primary());
  }

  /** This VM has just started, and has had no term confirmed. */
  @Test
  void shouldGrantNoLeaseUntilTheTargetsWereAskedWhenNoTermIsConfirmed() {
    fixture.register(FIRST, REPLICA, SUCCESSOR);

    registerSteppedDown();

    assertFalse(grantsPrimary());
    run(2);
    assertEquals(Optional.empty(), primary());
  }

  /** The replaced primary is told to step down, and the run goes on to promote a replica. */
  @Test
  void shouldPromoteReplicaWhenTheSuccessorStepsDownWhileTheReplacedPrimaryClaimsItsRole() {
    fixture.releaseAtOnce("vm-a");
    fixture.releaseAtOnce("vm-c");
    replaceFirstPrimary();
    fixture.handle("i-3").recordPrimary(2);
    fixture.register(FIRST, REPLICA, TestTargets.leaving(SUCCESSOR, 11));
    while (successorLeads) {
      run(1);
    }
    endCut();
    registerSteppedDown();
    firstUsed |= primary().isPresent();

    run(STEPS);

    assertFalse(firstUsed);
    assertEquals("i-2", fixture.orders.getFirst().target());
    assertTrue(toFirst.stream().anyMatch(TargetCommand.StepDown.class::isInstance));
  }

  /** Guards against an outage: the first primary may be promoted again. */
  @Test
  void shouldUseTheFirstPrimaryWhenItRegistersTheRoleAnew() {
    replaceFirstPrimary();
    fixture.handle("i-3").recordPrimary(2);
    endCut();
    fixture.register(TestTargets.target("i-1", false, 10), REPLICA, SUCCESSOR);

    fixture.register(
        TestTargets.target("i-1", true, 14), REPLICA, TestTargets.target("i-3", false, 13));

    assertEquals(Optional.of("i-1"), primary());
    assertTrue(grantsPrimary());
  }

  /** Guards against an outage: a VM may have missed the registration between two promotions. */
  @Test
  void shouldUseTheFirstPrimaryWhenItConfirmsNewerTerm() {
    replaceFirstPrimary();
    fixture.handle("i-3").recordPrimary(2);
    endCut();
    registerSteppedDown();

    fixture.handle("i-1").recordPrimary(3);

    assertEquals(Optional.of("i-1"), primary());
  }

  /** Guards against an outage: a late answer named the term before a promotion. */
  @Test
  void shouldUseThePrimaryWhenLateAnswerNamesAnOlderTerm() {
    fixture.handle("i-1").recordPrimary(3);

    fixture.handle("i-1").recordPrimary(2);

    assertEquals(Optional.of("i-1"), primary());
  }
}
