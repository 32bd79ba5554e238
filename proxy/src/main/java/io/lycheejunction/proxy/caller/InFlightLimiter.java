package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Limits the number of requests in flight, and lets a shutdown wait for their end. */
public final class InFlightLimiter {
  private static final long CLOSED_BIT = 1L << 62;
  private static final long IDLE_CHECK_INTERVAL_MS = 5;

  private final int max;
  private final AtomicLong state = new AtomicLong();

  /**
   * Creates a limiter without requests in flight.
   *
   * @param max the maximum number of requests in flight
   */
  public InFlightLimiter(int max) {
    this.max = max;
  }

  /** The permit of one request in flight, which is released once. */
  public final class Permit implements AutoCloseable {
    private final AtomicInteger held = new AtomicInteger(1);

    private Permit() {}

    /** Releases the permit; further calls have no effect. */
    @Override
    public void close() {
      if (held.compareAndSet(1, 0)) {
        state.decrementAndGet();
      }
    }
  }

  /** The result of {@link #tryAcquire}. */
  public sealed interface Admission {
    /** The request is admitted and holds a permit. */
    record Admitted(Permit permit) implements Admission {}

    /** The request is refused. */
    record Refused(Fault fault) implements Admission {}
  }

  /**
   * Returns a permit for a request, unless the limit is reached or the proxy is shutting down.
   *
   * @return the permit, or {@code QUEUE_FULL} or {@code SHUTTING_DOWN}
   */
  public Admission tryAcquire() {
    while (true) {
      long current = state.get();
      if ((current & CLOSED_BIT) != 0) {
        return refused(ResultCode.SHUTTING_DOWN, "the proxy is shutting down");
      }
      if (current >= max) {
        return refused(ResultCode.QUEUE_FULL, "the proxy has too many requests in flight");
      }
      if (state.compareAndSet(current, current + 1)) {
        return new Admission.Admitted(new Permit());
      }
    }
  }

  private static Admission refused(ResultCode code, String detail) {
    return new Admission.Refused(Fault.of(code, detail));
  }

  /** Refuses new requests from now on; requests in flight continue. */
  public void stopAdmission() {
    state.updateAndGet(current -> current | CLOSED_BIT);
  }

  /**
   * Returns whether new requests are refused.
   *
   * @return true after {@link #stopAdmission}
   */
  public boolean isClosed() {
    return (state.get() & CLOSED_BIT) != 0;
  }

  /**
   * Returns the number of requests in flight.
   *
   * @return the number
   */
  public int size() {
    return (int) (state.get() & ~CLOSED_BIT);
  }

  /**
   * Waits until no request is in flight, at most for the timeout.
   *
   * @param clock the runtime clock
   * @param timeoutMs the maximum time to wait, in milliseconds
   * @return true if no request is in flight
   * @throws InterruptedException if the thread is interrupted
   */
  public boolean awaitIdle(RuntimeClock clock, long timeoutMs) throws InterruptedException {
    Objects.requireNonNull(clock, "clock is null");
    Deadline deadline = Deadline.after(clock, timeoutMs);
    while (size() > 0 && deadline.remainingMs() > 0) {
      clock.sleepMs(Math.min(IDLE_CHECK_INTERVAL_MS, deadline.remainingMs()));
    }
    return size() == 0;
  }

  /**
   * Returns why new requests are refused.
   *
   * @return the reason, or empty if they are admitted
   */
  public Optional<String> reasonNotReady() {
    return isClosed() ? Optional.of("shutting down") : Optional.empty();
  }
}
