package io.lycheejunction.gateway.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Failures: pauses of this VM, a target that becomes slower, a target known only when full. */
class LatencyTrendTest {
  private final LatencyTrend trend = new LatencyTrend();
  private long nowMs = 1_000;

  private void record(int count, long tookMs) {
    for (int i = 0; i < count; i++) {
      nowMs += 100;
      trend.record(tookMs, nowMs);
    }
  }

  @Test
  void shouldStayNormalWhenFewAnswersAreLate() {
    record(20, 30);

    record(LatencyTrend.MEDIAN_OF / 2, 900);

    assertEquals(LatencyLevel.NORMAL, trend.level(nowMs));
  }

  @Test
  void shouldFollowQueueingWhenLatencyRises() {
    record(20, 30);

    record(LatencyTrend.MEDIAN_OF, 80);
    assertEquals(LatencyLevel.RAISED, trend.level(nowMs));
    record(LatencyTrend.MEDIAN_OF, 120);

    assertEquals(LatencyLevel.HIGH, trend.level(nowMs));
  }

  @Test
  void shouldBecomeNormalWhenTargetStaysSlower() {
    record(20, 30);

    record((int) (2 * LatencyTrend.PERIOD_MS / 100) + LatencyTrend.MEDIAN_OF, 120);

    assertEquals(LatencyLevel.NORMAL, trend.level(nowMs));
  }

  /** Holders that started under load took the latency of a full queue for the lowest. */
  @Test
  void shouldHoldAfterRefusalUntilLatencyFallsOrTimeHasPassed() {
    record(20, 120);
    trend.recordRefusal(nowMs);

    record(LatencyTrend.MEDIAN_OF, 110);
    assertEquals(LatencyLevel.RAISED, trend.level(nowMs));
    assertEquals(LatencyLevel.NORMAL, trend.level(nowMs + LatencyTrend.HOLD_AFTER_REFUSAL_MS));
    record(LatencyTrend.MEDIAN_OF, 40);

    assertEquals(LatencyLevel.NORMAL, trend.level(nowMs));
  }
}
