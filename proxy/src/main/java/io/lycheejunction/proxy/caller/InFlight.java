package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Counts the requests in flight, bounds them, and lets a shutdown wait for their end. */
public final class InFlight {
  private static final long CLOSED_BIT = 1L << 62;
  private static final long IDLE_CHECK_INTERVAL_MS = 5;

  private final int max;
  private final AtomicLong state = new AtomicLong();

  /**
   * Creates an empty table.
   *
   * @param max the largest number of requests in flight
   */
  public InFlight(int max) {
    this.max = max;
  }

  /** A place in the table, which is given back once. */
  public final class Place implements AutoCloseable {
    private final AtomicInteger open = new AtomicInteger(1);

    private Place() {}

    /** Gives the place back; later calls have no effect. */
    @Override
    public void close() {
      if (open.compareAndSet(1, 0)) {
        state.decrementAndGet();
      }
    }
  }

  /** What became of a request's wish for a place. */
  public sealed interface Entry {
    /** The request has a place. */
    record Taken(Place place) implements Entry {}

    /** The request is refused. */
    record Refused(Fault fault) implements Entry {}
  }

  /**
   * Returns a place for a request, unless the table is full or closed.
   *
   * @return the place, or {@code QUEUE_FULL} or {@code SHUTTING_DOWN}
   */
  public Entry enter() {
    while (true) {
      long seen = state.get();
      if ((seen & CLOSED_BIT) != 0) {
        return refused(ResultCode.SHUTTING_DOWN, "the proxy is shutting down");
      }
      if (seen >= max) {
        return refused(ResultCode.QUEUE_FULL, "the proxy has too many requests in flight");
      }
      if (state.compareAndSet(seen, seen + 1)) {
        return new Entry.Taken(new Place());
      }
    }
  }

  private static Entry refused(ResultCode code, String detail) {
    return new Entry.Refused(Fault.of(code, detail));
  }

  /** Closes the table: requests in flight go on, new ones are refused. */
  public void close() {
    state.updateAndGet(seen -> seen | CLOSED_BIT);
  }

  /**
   * Returns whether the table takes no more requests.
   *
   * @return true after {@link #close}
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
   * Returns whether no request is in flight, at the latest after the timeout.
   *
   * @param clock the runtime clock
   * @param timeoutMs the time to wait, in milliseconds
   * @return true if the table is empty
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
   * Returns why the table takes no request now.
   *
   * @return the reason, or empty if it takes them
   */
  public Optional<String> reasonNotOpen() {
    return isClosed() ? Optional.of("shutting down") : Optional.empty();
  }
}
