package io.lycheejunction.gateway.pace;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import java.util.Optional;

/**
 * The expected time until a waiting statement is sent and answered.
 *
 * @param ahead the number of statements that end before it is sent
 * @param parallel the number of statements that may be in progress
 * @param typicalMs the latency of the statements before it, in milliseconds
 * @param ownMs the latency of the statement itself, in milliseconds
 */
record WaitEstimate(int ahead, int parallel, double typicalMs, double ownMs) {
  private static final long MIN_RETRY_MS = 20;

  /**
   * Waits and latencies vary; without the margins many of those that wait miss their time limit
   * after they were sent, and take slots in vain.
   */
  private static final double WAIT_MARGIN = 1.2;

  private static final double OWN_MARGIN = 1.5;

  WaitEstimate {
    if (parallel < 1) {
      throw new IllegalArgumentException("parallel must be at least 1 but is " + parallel);
    }
  }

  /** Returns the time until the statement is sent, in milliseconds. */
  double waitMs() {
    return typicalMs * ahead / parallel;
  }

  /**
   * Returns the refusal of a statement that can't be answered in time.
   *
   * @param remainingMs the time until its time limit, in milliseconds
   * @param target the identifier of the target
   * @return the fault with the time until the queue is short enough, or empty if it may wait
   */
  Optional<Fault> refusal(long remainingMs, String target) {
    double excessMs = waitMs() * WAIT_MARGIN + ownMs * OWN_MARGIN - remainingMs;
    if (excessMs <= 0) {
      return Optional.empty();
    }
    String detail =
        "the expected wait of %.0f ms for %s and its latency of %.0f ms exceed the %d ms"
            .formatted(waitMs(), target, ownMs, remainingMs);
    return Optional.of(
        new Fault(
            ResultCode.WAIT_TOO_LONG,
            detail + " that remain",
            Math.max(MIN_RETRY_MS, (long) Math.ceil(excessMs))));
  }
}
