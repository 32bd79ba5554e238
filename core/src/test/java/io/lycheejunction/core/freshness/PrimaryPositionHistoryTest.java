package io.lycheejunction.core.freshness;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.lycheejunction.core.term.LogPosition;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class PrimaryPositionHistoryTest {
  private static final LogPosition NO_COMMIT = LogPosition.ORIGIN;

  private final PrimaryPositionHistory positions = new PrimaryPositionHistory(10_000);

  @Test
  void shouldReturnOldestFreshPositionWhenSeveralAreKnown() {
    positions.record(1_000, new LogPosition(1, 10));
    positions.record(2_000, new LogPosition(1, 20));
    positions.record(3_000, new LogPosition(1, 30));

    assertEquals(Optional.of(new LogPosition(1, 20)), positions.floor(3_100, 1_500, NO_COMMIT));
  }

  @Test
  void shouldReturnEmptyWhenAllPositionsAreTooOld() {
    positions.record(1_000, new LogPosition(1, 10));

    assertEquals(Optional.empty(), positions.floor(2_501, 1_500, NO_COMMIT));
  }

  @Test
  void shouldReturnSessionCommitWhenItIsLaterThanFreshPosition() {
    positions.record(1_000, new LogPosition(1, 10));

    assertEquals(
        Optional.of(new LogPosition(1, 15)), positions.floor(1_100, 1_500, new LogPosition(1, 15)));
  }

  @Test
  void shouldIgnoreSessionCommitOfEarlierTermWhenPromotionIsKnown() {
    positions.record(1_000, new LogPosition(1, 10));
    positions.record(1_200, new LogPosition(2, 8));

    assertEquals(
        Optional.of(new LogPosition(2, 8)), positions.floor(1_300, 1_500, new LogPosition(1, 15)));
  }

  @Test
  void shouldKeepNewestTermWhenAnswerOfEarlierTermIsLate() {
    positions.record(1_200, new LogPosition(2, 8));
    positions.record(1_300, new LogPosition(1, 30));

    assertEquals(Optional.of(new LogPosition(2, 8)), positions.floor(1_400, 1_500, NO_COMMIT));
  }

  @Test
  void shouldIgnoreAnswersToEarlierRequestsWhenForgotten() {
    positions.record(1_000, new LogPosition(1, 10));

    positions.invalidateBefore(2_000);
    positions.record(1_900, new LogPosition(1, 11));

    assertEquals(Optional.empty(), positions.floor(2_000, 1_500, NO_COMMIT));
  }
}
