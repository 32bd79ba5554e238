package io.lycheejunction.gateway.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Failure: a VM froze while the answer to its failover lease was on its way. The lease expired for
 * the others, another VM acquired it and ordered a promotion. The first one woke up, read the old
 * answer, and ordered a promotion with its lower fencing token.
 */
class FrozenPromoterTest {
  private static final long FROZEN_MS = 3_500;

  private final FailoverFixture fixture = new FailoverFixture();

  private void startRun() {
    fixture.crashPrimary();
    fixture.othersVote(true);
    fixture.watch.checkPrimaries();
    fixture.group.scheduler.advanceMs(150);
    fixture.watch.checkPrimaries();
  }

  private void answerStatuses() {
    fixture.answerStatus("i-2", 7);
    fixture.answerStatus("i-3", 9);
  }

  private long now() {
    return fixture.group.scheduler.nowMs();
  }

  @Test
  void shouldNotOrderWhenTheAnswerToItsLeaseWasReadTooLate() {
    fixture.store.withholdsLeases = true;
    startRun();
    assertTrue(fixture.store.hasLease());

    fixture.group.scheduler.advanceMs(FROZEN_MS);
    fixture.store.leaseTaken = true;
    fixture.store.answerLeases();
    answerStatuses();

    assertTrue(fixture.orders.isEmpty());
  }

  /** The clock of a suspended VM stops, so the age of the lease does not tell. */
  @Test
  void shouldNotOrderUnderLeaseFromBeforeItsClockMissedTime() {
    startRun();

    fixture.group.scheduler.advanceMs(1);
    fixture.watch.onClockGap(now());
    fixture.store.leaseTaken = true;
    answerStatuses();

    assertTrue(fixture.orders.isEmpty());
  }

  @Test
  void shouldNotOrderWhenItHasReadThatAnotherProcessHasTheLease() {
    startRun();

    fixture.store.lease = Optional.of(new Lease("vm-a-1", "i-1", 99, now()));
    answerStatuses();

    assertTrue(fixture.orders.isEmpty());
  }

  /** The connection for the order took longer to open than the lease was valid. */
  @Test
  void shouldNotSendTheOrderOnceItsLeaseIsTooOld() {
    startRun();
    answerStatuses();
    FailoverFixture.Order order = fixture.orders.getFirst();
    assertTrue(order.maySend().getAsBoolean());

    fixture.group.scheduler.advanceMs(RunLease.MAX_AGE_MS + 1);

    assertFalse(order.maySend().getAsBoolean());
  }

  @Test
  void shouldOrderUnderNewLeaseWhenItIsStillItsOwn() {
    fixture.store.withholdsLeases = true;
    startRun();

    fixture.group.scheduler.advanceMs(RunLease.MAX_AGE_MS + 1);
    fixture.store.answerLeases();
    answerStatuses();

    assertEquals(1, fixture.orders.size());
    assertEquals(11, fixture.orders.getFirst().token());
  }
}
