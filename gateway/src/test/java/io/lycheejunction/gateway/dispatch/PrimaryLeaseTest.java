package io.lycheejunction.gateway.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.gateway.dispatch.DispatchFixture.RecordedOutcome;
import io.lycheejunction.gateway.lease.PrimaryLeases;
import io.lycheejunction.gateway.lease.PrimaryUse;
import io.lycheejunction.gateway.lease.VoterSet;
import io.lycheejunction.gateway.link.FakeLinks.FakeLink;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.route.ReadRule;
import io.lycheejunction.gateway.target.TestTargets;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * A replaced primary goes on to run and acknowledge work. A VM that has not heard of the
 * replacement must neither send it work after its lease has expired nor pass on its answers.
 */
class PrimaryLeaseTest {
  private static final ReadRule LATEST = new ReadRule.Latest();
  private static final ReadRule AGED = new ReadRule.Aged(1_500);

  private final PrimaryLeases leases = new PrimaryLeases(() -> VoterSet.of(Map.of("vm-a", "a")));
  private final DispatchFixture fixture = new DispatchFixture(new PrimaryUse.Leased(leases));

  private void holdLease() {
    leases.recordGrant("vm-a", TestTargets.SERVICE, "i-1", fixture.scheduler.nowMs());
  }

  private void loseLease() {
    leases.drop(TestTargets.SERVICE);
  }

  @Test
  void shouldSendWriteWhenTheLeaseIsHeld() {
    holdLease();
    final RecordedOutcome outcome = fixture.run(LATEST, DispatchFixture.write());

    fixture.links.last("i-1").greet().done(TransactionState.NONE, 1, 5);

    assertTrue(outcome.isDone());
  }

  @Test
  void shouldRefuseWriteAsNotRunWhenNoLeaseIsHeld() {
    final RecordedOutcome outcome = fixture.run(LATEST, DispatchFixture.write());

    assertEquals(ResultCode.NO_PRIMARY, outcome.fault().code());
    assertTrue(outcome.fault().retryAfterMs() > 0);
    assertTrue(fixture.links.opened().isEmpty());
  }

  /** The write waited for a connection while the lease expired. */
  @Test
  void shouldNotSendWriteWhenTheLeaseExpiresWhileItWaits() {
    holdLease();
    final RecordedOutcome outcome = fixture.run(LATEST, DispatchFixture.write());

    loseLease();
    FakeLink link = fixture.links.last("i-1").greet();

    assertTrue(link.unanswered().isEmpty());
    assertEquals(ResultCode.NO_PRIMARY, outcome.fault().code());
  }

  /** The primary may have been replaced before it ran the write, whose commit is then lost. */
  @Test
  void shouldReportUnknownOutcomeWhenTheWriteIsAnsweredAfterTheLeaseHasExpired() {
    holdLease();
    final RecordedOutcome outcome = fixture.run(LATEST, DispatchFixture.write());
    FakeLink link = fixture.links.last("i-1").greet();

    fixture.scheduler.advanceMs(PrimaryLeases.DURATION_MS - 10);
    loseLease();
    link.done(TransactionState.NONE, 1, 5);

    assertEquals(ResultCode.UNKNOWN_OUTCOME, outcome.fault().code());
  }

  /** A read of the latest data at a replaced primary lacks its successor's commits. */
  @Test
  void shouldNotSendReadWhenTheLeaseExpiresBeforeItsTransactionHasBegun() {
    holdLease();
    final RecordedOutcome outcome = fixture.run(LATEST, DispatchFixture.read());
    FakeLink link = fixture.links.last("i-1").greet();

    loseLease();
    link.done(TransactionState.OPEN, 1, 5);

    assertFalse(
        link.unanswered().stream().anyMatch(command -> command.toString().contains("Read[")));
    assertEquals(ResultCode.NO_PRIMARY, outcome.fault().code());
  }

  /** The position of a replaced primary does not include its successor's commits. */
  @Test
  void shouldNotTreatPositionAsProvenWhenTheLeaseHasExpired() {
    holdLease();
    fixture.run(LATEST, DispatchFixture.write());
    FakeLink link = fixture.links.last("i-1").greet();

    loseLease();
    link.done(TransactionState.NONE, 1, 5);

    assertEquals(0, fixture.positions.of(TestTargets.SERVICE).newestTerm());
  }

  /** Replicas serve what they have, whoever is primary. */
  @Test
  void shouldReadFromReplicaWhenNoLeaseIsHeld() {
    fixture.recordProvenPosition(1, 7);
    final RecordedOutcome outcome = fixture.run(AGED, DispatchFixture.read());

    fixture.links.last("i-2").greet().done(TransactionState.NONE, 1, 8);

    assertTrue(outcome.isDone());
  }

  private RecordedOutcome run(Transaction transaction, CallerStatement statement) {
    RecordedOutcome outcome = new RecordedOutcome();
    transaction.run(DispatchFixture.request(LATEST, statement), outcome);
    return outcome;
  }

  private Transaction transaction() {
    return new Transaction(
        fixture.dispatch, DispatchFixture.request(LATEST, DispatchFixture.read()).route(), false);
  }

  @Test
  void shouldRollBackTransactionWhenTheLeaseExpiresBetweenItsStatements() {
    holdLease();
    Transaction transaction = transaction();
    final RecordedOutcome first = run(transaction, DispatchFixture.write());
    FakeLink link = fixture.links.last("i-1").greet();
    link.done(TransactionState.OPEN, 1, 5);
    link.done(TransactionState.OPEN, 1, 5);
    assertTrue(first.isDone());

    loseLease();
    RecordedOutcome second = run(transaction, DispatchFixture.write());

    assertEquals(ResultCode.ROLLED_BACK, second.fault().code());
    assertTrue(link.unanswered().getFirst().toString().contains("Rollback"));
  }

  @Test
  void shouldReportUnknownOutcomeWhenTheCommitIsAnsweredAfterTheLeaseHasExpired() {
    holdLease();
    Transaction transaction = transaction();
    run(transaction, DispatchFixture.write());
    FakeLink link = fixture.links.last("i-1").greet();
    link.done(TransactionState.OPEN, 1, 5);
    link.done(TransactionState.OPEN, 1, 5);
    RecordedOutcome commit = run(transaction, new CallerStatement.Commit());

    loseLease();
    link.done(TransactionState.NONE, 1, 6);

    assertEquals(ResultCode.UNKNOWN_OUTCOME, commit.fault().code());
  }
}
