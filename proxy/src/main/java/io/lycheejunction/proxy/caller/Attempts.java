package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import java.util.Optional;

/** The failed attempts of one request; not thread-safe. */
final class Attempts {
  private static final long MIN_SHORTENED_MS = 500;

  private int count;
  private long lastTerm;
  private boolean shortened;
  private Optional<Fault> lastFault = Optional.empty();
  private Optional<Fault> unknownOutcome = Optional.empty();

  /**
   * Records a failed attempt.
   *
   * @param fault the fault
   * @param term the term of the attempt
   */
  void record(Fault fault, long term) {
    count++;
    lastTerm = term;
    lastFault = Optional.of(fault);
    if (!fault.isNotRun()) {
      unknownOutcome = Optional.of(fault);
    }
  }

  /**
   * Returns the timeout of the next attempt. It is half of the remaining time if the request can be
   * retried after an unknown outcome, so that time for a retry remains, and all of it if the half
   * would be too short or the last attempt ran out of time.
   *
   * @param isRetryable true if the request may be sent again after an unknown outcome
   * @param deadline the deadline of the request
   * @return the timeout in milliseconds
   */
  long nextTimeoutMs(boolean isRetryable, Deadline deadline) {
    long remainingMs = deadline.remainingMs();
    boolean timedOut =
        shortened
            && lastFault
                .map(Fault::code)
                .filter(
                    code ->
                        code == ResultCode.WAIT_TOO_LONG || code == ResultCode.DEADLINE_EXCEEDED)
                .isPresent();
    shortened = isRetryable && !timedOut && remainingMs / 2 > MIN_SHORTENED_MS;
    return shortened ? remainingMs / 2 : remainingMs;
  }

  /**
   * Returns whether the last timeout was shorter than the remaining time.
   *
   * @return true if it was
   */
  boolean wasShortened() {
    return shortened;
  }

  /**
   * Returns whether an attempt may have taken effect.
   *
   * @return true after an attempt with an unknown outcome
   */
  boolean mayHaveRun() {
    return unknownOutcome.isPresent();
  }

  /**
   * Returns the number of recorded attempts.
   *
   * @return the number
   */
  int count() {
    return count;
  }

  /**
   * Returns the term of the last attempt.
   *
   * @return the term, 0 before the first attempt
   */
  long lastTerm() {
    return lastTerm;
  }

  /**
   * Returns the fault of the last attempt.
   *
   * @return the fault, {@code DEADLINE_EXCEEDED} before the first attempt
   */
  Fault lastFault() {
    return lastFault.orElseGet(
        () -> Fault.of(ResultCode.DEADLINE_EXCEEDED, "the deadline passed before dispatch"));
  }

  /**
   * Returns the fault to report for a request that may have taken effect.
   *
   * @return the fault of the last attempt with an unknown outcome, {@code UNKNOWN_OUTCOME} if there
   *     is none
   */
  Fault unknownOutcome() {
    return unknownOutcome.orElseGet(
        () -> Fault.of(ResultCode.UNKNOWN_OUTCOME, "the outcome is not known"));
  }
}
