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

  private LatencyLevel level(long atMs) {
    return trend.level(atMs, trend.lowestMs(nowMs));
  }

  /** Writes of 6 ms wait behind reads of 30 ms, which looked like overload. */
  @Test
  void shouldStayNormalWhenShortStatementsWaitBehindLongOnes() {
    record(20, 6);

    record(LatencyTrend.MEDIAN_OF, 40);

    assertEquals(LatencyLevel.NORMAL, trend.level(nowMs, 30));
    assertEquals(LatencyLevel.HIGH, level(nowMs));
  }

  @Test
  void shouldStayNormalWhenFewAnswersAreLate() {
    record(20, 30);

    record(LatencyTrend.MEDIAN_OF / 2, 900);

    assertEquals(LatencyLevel.NORMAL, level(nowMs));
  }

  @Test
  void shouldFollowQueueingWhenLatencyRises() {
    record(20, 30);

    record(LatencyTrend.MEDIAN_OF, 80);
    assertEquals(LatencyLevel.RAISED, level(nowMs));
    record(LatencyTrend.MEDIAN_OF, 120);

    assertEquals(LatencyLevel.HIGH, level(nowMs));
  }

  /** A third of 200 ms reads beside reads of 10 ms took the limit of a healthy target to 1. */
  @Test
  void shouldNotBeHighWhenWarmTargetRunsSomeLongStatements() {
    record(120, 10);

    record(6, 200);
    assertEquals(LatencyLevel.RAISED, level(nowMs));
    record(3, 200);

    assertEquals(LatencyLevel.HIGH, level(nowMs));
  }

  @Test
  void shouldBecomeNormalWhenTargetStaysSlower() {
    record(20, 30);

    record((int) (2 * LatencyTrend.PERIOD_MS / 100) + LatencyTrend.MEDIAN_OF, 120);

    assertEquals(LatencyLevel.NORMAL, level(nowMs));
  }

  /** Holders that started under load took the latency of a full queue for the lowest. */
  @Test
  void shouldHoldAfterRefusalUntilLatencyFallsOrTimeHasPassed() {
    record(20, 120);
    trend.recordRefusal(nowMs);

    record(LatencyTrend.MEDIAN_OF, 110);
    assertEquals(LatencyLevel.RAISED, level(nowMs));
    assertEquals(LatencyLevel.NORMAL, level(nowMs + LatencyTrend.HOLD_AFTER_REFUSAL_MS));
    record(LatencyTrend.MEDIAN_OF, 40);

    assertEquals(LatencyLevel.NORMAL, level(nowMs));
  }
}
