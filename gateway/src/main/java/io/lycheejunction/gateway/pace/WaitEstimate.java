package io.lycheejunction.gateway.pace;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import java.util.Optional;

/**
 * The expected time until a waiting statement is sent and answered.
 *
 * @param ahead the number of statements that are sent before it
 * @param parallel the number of statements that may be in progress
 * @param latencyMs the mean latency of a statement, in milliseconds; 0 if it is not known
 */
record WaitEstimate(int ahead, int parallel, double latencyMs) {
  private static final long MIN_RETRY_MS = 20;

  /**
   * Waits and latencies vary; without the two margins many of those that wait still miss their
   * limit after they were sent.
   */
  private static final double WAIT_MARGIN = 1.2;

  private static final double LATENCY_MARGIN = 2;

  WaitEstimate {
    if (parallel < 1) {
      throw new IllegalArgumentException("parallel must be at least 1 but is " + parallel);
    }
  }

  /** Returns the time until the statement is sent, in milliseconds. */
  double waitMs() {
    return latencyMs * (ahead + 1) / parallel;
  }

  /**
   * Returns the refusal of a statement that can't be answered in time.
   *
   * @param remainingMs the time until its time limit, in milliseconds
   * @param target the identifier of the target
   * @return the fault with the time until the queue is short enough, or empty if it may wait
   */
  Optional<Fault> refusal(long remainingMs, String target) {
    double excessMs = waitMs() * WAIT_MARGIN + latencyMs * LATENCY_MARGIN - remainingMs;
    if (latencyMs <= 0 || excessMs <= 0) {
      return Optional.empty();
    }
    String detail =
        "the expected wait of %.0f ms for %s exceeds the %d ms that remain"
            .formatted(waitMs(), target, remainingMs);
    return Optional.of(
        new Fault(
            ResultCode.WAIT_TOO_LONG, detail, Math.max(MIN_RETRY_MS, (long) Math.ceil(excessMs))));
  }
}
