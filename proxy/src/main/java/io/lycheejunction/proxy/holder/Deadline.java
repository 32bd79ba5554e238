package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;

/**
 * The time by which a request must be answered.
 *
 * @param clock the clock that measures the remaining time
 * @param atMs the deadline in the clock's monotonic time, in milliseconds
 */
record Deadline(RuntimeClock clock, long atMs) {

  static Deadline in(RuntimeClock clock, long remainingMs) {
    return new Deadline(clock, clock.monotonicMs() + remainingMs);
  }

  long remainingMs() {
    return Math.max(0, atMs - clock.monotonicMs());
  }

  long remainingMs(long limitMs) {
    return Math.min(limitMs, remainingMs());
  }

  boolean isPassed() {
    return remainingMs() == 0;
  }

  /** Returns the fault of a request whose deadline passed before it was dispatched. */
  static <T> Result<T> exceeded() {
    return Result.failure(ResultCode.DEADLINE_EXCEEDED, "deadline passed before dispatch");
  }

  /** Returns false if the thread was interrupted; its interrupt status is then set again. */
  boolean sleepMs(long durationMs) {
    try {
      clock.sleepMs(durationMs);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
