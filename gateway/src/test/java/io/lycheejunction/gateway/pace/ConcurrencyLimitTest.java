package io.lycheejunction.gateway.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Load: a cold target that is flooded, and refuses again while it warms up. */
class ConcurrencyLimitTest {
  private static final int SLOTS = 4;
  private ConcurrencyLimit limit = ConcurrencyLimit.startingAt(1);

  private SentStatement sent(int inProgress) {
    return new SentStatement(StatementKind.READ, 0, limit.reductions(), inProgress);
  }

  private void answer(int count, LatencyLevel level, int inProgress) {
    for (int i = 0; i < count; i++) {
      limit = limit.afterAnswer(level, sent(inProgress), SLOTS);
    }
  }

  @Test
  void shouldReachSlotsWithinThreeAnswersWhenLatencyIsNormal() {
    answer(1, LatencyLevel.NORMAL, 1);
    assertEquals(2, limit.statements());

    answer(2, LatencyLevel.NORMAL, 1);

    assertEquals(4, limit.statements());
  }

  @Test
  void shouldGrowBeyondSlotsOnlyWhenLimitIsUsed() {
    answer(50, LatencyLevel.NORMAL, 2);
    assertEquals(SLOTS, limit.statements());

    answer(4, LatencyLevel.NORMAL, 4);

    assertEquals(8, limit.statements());
  }

  @Test
  void shouldFallOnceWhenStatementsOfOneRoundAreRefused() {
    answer(7, LatencyLevel.NORMAL, 4);
    assertEquals(8, limit.statements());
    SentStatement first = sent(7);
    SentStatement second = sent(8);

    limit = limit.afterRefusal(first).afterRefusal(second);

    assertEquals(4, limit.statements());
  }

  @Test
  void shouldGrowSlowlyWhenStatementsWereRefusedBefore() {
    limit = limit.afterRefusal(sent(1));

    answer(ConcurrencyLimit.ANSWERS_PER_STEP - 1, LatencyLevel.NORMAL, 1);
    assertEquals(1, limit.statements());
    answer(1, LatencyLevel.NORMAL, 1);

    assertEquals(2, limit.statements());
  }

  @Test
  void shouldStayAtOneWhenRefusalsDoNotEnd() {
    for (int i = 0; i < 20; i++) {
      limit = limit.afterRefusal(sent(1));
    }

    assertEquals(1, limit.statements());
  }

  @Test
  void shouldHoldWhenLatencyIsRaisedAndFallWhenItIsHigh() {
    answer(3, LatencyLevel.NORMAL, 2);

    answer(20, LatencyLevel.RAISED, 4);
    assertEquals(4, limit.statements());
    answer(1, LatencyLevel.HIGH, 4);

    assertEquals(3, limit.statements());
  }

  /** Writes that wait for the lock of an open transaction made reads of the target wait. */
  @Test
  void shouldNotFallBelowSlotsWhenOnlyWritesAreSlow() {
    answer(7, LatencyLevel.NORMAL, 4);
    assertEquals(8, limit.statements());

    for (int i = 0; i < 20; i++) {
      SentStatement write = new SentStatement(StatementKind.WRITE, 0, limit.reductions(), 4);
      limit = limit.afterAnswer(LatencyLevel.HIGH, write, SLOTS);
    }

    assertEquals(SLOTS, limit.statements());
  }

  /** A lone slow statement tells nothing of the work that this VM has in progress. */
  @Test
  void shouldNotFallWhenOnlyOneStatementIsInProgress() {
    answer(3, LatencyLevel.NORMAL, 2);
    ConcurrencyLimit before = limit;

    answer(20, LatencyLevel.HIGH, 1);

    assertSame(before, limit);
  }

  @Test
  void shouldIgnoreAnswersFromBeforeWhenTargetRestarts() {
    answer(3, LatencyLevel.NORMAL, 2);
    SentStatement earlier = sent(4);

    limit = limit.restarted().afterAnswer(LatencyLevel.NORMAL, earlier, SLOTS);

    assertEquals(1, limit.statements());
    assertTrue(limit.value() >= 1);
  }
}
