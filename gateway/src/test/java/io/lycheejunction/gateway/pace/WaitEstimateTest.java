package io.lycheejunction.gateway.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import org.junit.jupiter.api.Test;

/** Load: statements were held in a queue until their time limit, and then refused. */
class WaitEstimateTest {

  @Test
  void shouldRefuseAtOnceWhenQueueIsTooLong() {
    Fault fault = new WaitEstimate(19, 2, 100, 40).refusal(800, "t-1").orElseThrow();

    assertEquals(ResultCode.WAIT_TOO_LONG, fault.code());
    assertEquals(400, fault.retryAfterMs());
  }

  @Test
  void shouldWaitWhenQueueIsShort() {
    assertTrue(new WaitEstimate(3, 4, 100, 40).refusal(800, "t-1").isEmpty());
  }

  @Test
  void shouldWaitWhenTimeIsJustEnough() {
    assertTrue(new WaitEstimate(5, 1, 100, 133).refusal(800, "t-1").isEmpty());
    assertEquals(20, new WaitEstimate(5, 1, 100, 134).refusal(800, "t-1").get().retryAfterMs());
  }

  @Test
  void shouldNotOverflowWhenRequestHasNoDeadline() {
    assertTrue(new WaitEstimate(5, 1, 50, 50).refusal(Long.MAX_VALUE, "t-1").isEmpty());
  }

  @Test
  void shouldRejectEstimateWhenNothingMayBeInProgress() {
    assertThrows(IllegalArgumentException.class, () -> new WaitEstimate(0, 0, 10, 10));
  }
}
