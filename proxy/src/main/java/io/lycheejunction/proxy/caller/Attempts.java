package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import java.util.Optional;

/** What the attempts of one request have shown so far; used by one thread. */
final class Attempts {
  private static final long SHORTEST_SHARE_MS = 500;

  private int count;
  private long term;
  private boolean shortened;
  private Optional<Fault> last = Optional.empty();
  private Optional<Fault> doubt = Optional.empty();

  /**
   * Records the fault of an attempt.
   *
   * @param fault the fault
   * @param atTerm the term of the attempt
   */
  void record(Fault fault, long atTerm) {
    count++;
    term = atTerm;
    last = Optional.of(fault);
    if (!fault.isNotRun()) {
      doubt = Optional.of(fault);
    }
  }

  /**
   * Returns the time that the next attempt may take; half of what is left while an attempt of
   * unknown outcome could be followed by another.
   *
   * @param resendable true if the request may be sent again
   * @param deadline the deadline of the request
   * @return the time in milliseconds
   */
  long attemptMs(boolean resendable, Deadline deadline) {
    long leftMs = deadline.remainingMs();
    boolean refusedForTime =
        shortened
            && last.map(Fault::code)
                .filter(
                    code ->
                        code == ResultCode.WAIT_TOO_LONG || code == ResultCode.DEADLINE_EXCEEDED)
                .isPresent();
    shortened = resendable && !refusedForTime && leftMs / 2 > SHORTEST_SHARE_MS;
    return shortened ? leftMs / 2 : leftMs;
  }

  /**
   * Returns whether the last attempt had less time than was left.
   *
   * @return true if it had
   */
  boolean wasShortened() {
    return shortened;
  }

  /**
   * Returns whether an attempt may have taken effect.
   *
   * @return true after an attempt of unknown outcome
   */
  boolean isDoubtful() {
    return doubt.isPresent();
  }

  /**
   * Returns the number of attempts.
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
  long term() {
    return term;
  }

  /**
   * Returns the fault of the last attempt.
   *
   * @return the fault, {@code DEADLINE_EXCEEDED} before the first attempt
   */
  Fault last() {
    return last.orElseGet(
        () -> Fault.of(ResultCode.DEADLINE_EXCEEDED, "the deadline passed before dispatch"));
  }

  /**
   * Returns the answer for a request that may have taken effect.
   *
   * @return the fault of the last attempt of unknown outcome
   */
  Fault doubt() {
    return doubt.orElseGet(() -> Fault.of(ResultCode.UNKNOWN_OUTCOME, "the outcome is not known"));
  }
}
