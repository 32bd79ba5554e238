package io.lycheejunction.core.admission;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.Objects;

/**
 * Limits the number of requests that run at once on one target and queues the others; safe for
 * concurrent use.
 *
 * <p>Services share the target in proportion to their weights, the entry proxies of one service are
 * served round-robin, and urgent requests are served before stale reads. A request that is not
 * expected to end before its deadline is refused at once.
 */
public final class AdmissionController {

  /** A permit to run one request; its holder closes it when the request has ended. */
  public interface Permit extends AutoCloseable {

    /**
     * Returns the time that the request waited in the queue.
     *
     * @return milliseconds
     */
    long waitedMs();

    /** Releases the permit; repeated calls have no effect. */
    @Override
    void close();
  }

  private final RuntimeClock clock;
  private final AdmissionState state;

  /**
   * Creates an admission controller with an empty queue.
   *
   * @param clock the clock that measures waits and deadlines
   * @param slots the largest number of requests that run at once
   * @param capacity the largest number of requests that wait
   */
  public AdmissionController(RuntimeClock clock, int slots, int capacity) {
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.state = new AdmissionState(slots, capacity);
  }

  /**
   * Returns a permit, waiting for it until the request's deadline at the latest.
   *
   * @param request the request, with the time that remains to its deadline
   * @return the permit, or {@code QUEUE_FULL}, {@code WAIT_TOO_LONG}, {@code DEADLINE_EXCEEDED} or
   *     the fault that was passed to {@link #close}
   */
  public Result<Permit> acquire(AdmissionRequest request) {
    if (request.remainingMs() <= 0) {
      return Result.failure(ResultCode.DEADLINE_EXCEEDED, "deadline passed before admission");
    }
    Ticket ticket = submit(request);
    try {
      if (!clock.awaitMs(ticket.decided(), request.remainingMs())) {
        cancel(ticket);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      cancel(ticket);
    }
    return ticket.fault().<Result<Permit>>map(Result::failure).orElseGet(() -> permit(ticket));
  }

  /**
   * Sets the largest number of requests that run at once; requests that already run are not
   * affected.
   *
   * @param slots the new limit
   */
  public synchronized void resize(int slots) {
    state.resize(slots, clock.monotonicMs());
  }

  /**
   * Refuses all waiting and all later requests.
   *
   * @param reason the fault that these requests fail with
   */
  public synchronized void close(Fault reason) {
    state.close(reason);
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number of requests in the queue
   */
  public synchronized int queued() {
    return state.queued();
  }

  /**
   * Returns the number of requests that hold a permit.
   *
   * @return the number of occupied slots; above the limit for a while after it was lowered
   */
  public synchronized int running() {
    return state.running();
  }

  synchronized Ticket submit(AdmissionRequest request) {
    long nowMs = clock.monotonicMs();
    Ticket ticket = new Ticket(request, nowMs);
    state.submit(ticket, nowMs);
    return ticket;
  }

  synchronized void cancel(Ticket ticket) {
    state.cancel(ticket);
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
      synchronized (AdmissionController.this) {
        if (!closed) {
          closed = true;
          release(ticket);
        }
      }
    }
  }
}
