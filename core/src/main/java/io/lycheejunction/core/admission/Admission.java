package io.lycheejunction.core.admission;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.Objects;

/**
 * Bounds what runs on one target at once, and orders what waits; safe for concurrent use.
 *
 * <p>Services share by weight, the entry proxies of a service in turn, and urgent requests go
 * before reads that accept an age. A request whose expected wait passes its deadline is refused at
 * once.
 */
public final class Admission {

  /** The right to run one request, to be closed when the request has ended. */
  public interface Permit extends AutoCloseable {

    /**
     * Returns the time that the request waited in the queue.
     *
     * @return milliseconds
     */
    long waitedMs();

    /** Gives the permit back; repeated calls have no effect. */
    @Override
    void close();
  }

  private final RuntimeClock clock;
  private final AdmissionState state;

  /**
   * Creates an admission without waiting requests.
   *
   * @param clock the runtime clock
   * @param slots the requests that run at once
   * @param capacity the requests that may wait
   */
  public Admission(RuntimeClock clock, int slots, int capacity) {
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.state = new AdmissionState(slots, capacity);
  }

  /**
   * Returns a permit, waiting for it up to the request's deadline.
   *
   * @param ask the request
   * @return the permit, or {@code QUEUE_FULL}, {@code WAIT_TOO_LONG}, {@code DEADLINE_EXCEEDED} or
   *     the reason of {@link #close}
   */
  public Result<Permit> acquire(Ask ask) {
    if (ask.remainingMs() <= 0) {
      return Result.failure(ResultCode.DEADLINE_EXCEEDED, "deadline passed before admission");
    }
    Ticket ticket = enter(ask);
    try {
      if (!clock.awaitMs(ticket.decided(), ask.remainingMs())) {
        giveUp(ticket);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      giveUp(ticket);
    }
    return ticket.fault().<Result<Permit>>map(Result::failure).orElseGet(() -> permit(ticket));
  }

  /**
   * Sets the requests that run at once; running ones are not affected.
   *
   * @param slots the new number
   */
  public synchronized void resize(int slots) {
    state.resize(slots, clock.monotonicMs());
  }

  /**
   * Refuses all waiting and later requests.
   *
   * @param reason the fault that they get
   */
  public synchronized void close(Fault reason) {
    state.close(reason);
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number
   */
  public synchronized int queued() {
    return state.queued();
  }

  /**
   * Returns the number of requests that hold a permit.
   *
   * @return the number
   */
  public synchronized int running() {
    return state.running();
  }

  synchronized Ticket enter(Ask ask) {
    long nowMs = clock.monotonicMs();
    Ticket ticket = new Ticket(ask, nowMs);
    state.enter(ticket, nowMs);
    return ticket;
  }

  synchronized void giveUp(Ticket ticket) {
    state.giveUp(ticket);
  }

  synchronized void release(Ticket ticket) {
    state.release(ticket, clock.monotonicMs());
  }

  private Result<Permit> permit(Ticket ticket) {
    return Result.success(new TicketPermit(ticket));
  }

  private final class TicketPermit implements Permit {
    private final Ticket ticket;
    private boolean closed;

    private TicketPermit(Ticket ticket) {
      this.ticket = ticket;
    }

    @Override
    public long waitedMs() {
      return ticket.waitedMs();
    }

    @Override
    public void close() {
      synchronized (Admission.this) {
        if (!closed) {
          closed = true;
          release(ticket);
        }
      }
    }
  }
}
