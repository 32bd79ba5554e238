package io.lycheejunction.gateway.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.gateway.dispatch.DispatchFixture.RecordedOutcome;
import io.lycheejunction.gateway.link.FakeLinks.FakeLink;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.route.ReadRule;
import io.lycheejunction.gateway.target.TargetHandle;
import org.junit.jupiter.api.Test;

/**
 * Failure: a target never answered a read on a connection that stayed open, and a second attempt
 * elsewhere succeeded. Nothing ended the first one, which kept its connection for good.
 */
class UnansweredAttemptTest {
  private static final ReadRule AGED = new ReadRule.Aged(1_500);
  private static final long HEDGE_MS = 200;

  private final DispatchFixture fixture = new DispatchFixture();

  private TargetHandle handle(String id) {
    return fixture.targets.find(id).orElseThrow();
  }

  @Test
  void shouldCloseTheConnectionOfAnUnansweredAttemptAtTheTimeLimit() {
    fixture.recordProvenPosition(1, 7);
    RecordedOutcome outcome = fixture.run(AGED, DispatchFixture.read());
    final FakeLink first = fixture.links.last("i-2").greet();
    fixture.scheduler.advanceMs(HEDGE_MS);
    fixture.links.last("i-3").greet().done(TransactionState.NONE, 1, 8);
    assertTrue(outcome.isDone());
    assertFalse(first.isClosed());

    fixture.scheduler.advanceMs(DispatchFixture.TIMEOUT_MS);

    assertTrue(first.isClosed());
    assertEquals(0, handle("i-2").pool().connectionCount());
  }

  /** The second attempt only waited for a connection, and would have run for nobody. */
  @Test
  void shouldNotSendTheOtherAttemptOnceTheStatementIsAnswered() {
    fixture.recordProvenPosition(1, 7);
    RecordedOutcome outcome = fixture.run(AGED, DispatchFixture.read());
    FakeLink slow = fixture.links.last("i-2").greet();
    fixture.scheduler.advanceMs(HEDGE_MS);

    slow.done(TransactionState.NONE, 1, 8);
    FakeLink opened = fixture.links.last("i-3").greet();

    assertTrue(outcome.isDone());
    assertTrue(opened.unanswered().isEmpty());
  }
}
