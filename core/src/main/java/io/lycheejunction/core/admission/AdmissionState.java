package io.lycheejunction.core.admission;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/** Decides which requests of one target run, wait or are refused; not safe for concurrent use. */
final class AdmissionState {
  private final Map<Lane, FairLane<Ticket>> lanes = new EnumMap<>(Lane.class);
  private final int capacity;
  private int slots;
  private int running;
  private int queued;
  private ServiceTime serviceTime = ServiceTime.none();
  private Fault closed;

  AdmissionState(int slots, int capacity) {
    this.slots = slots;
    this.capacity = capacity;
    for (Lane lane : Lane.values()) {
      lanes.put(lane, new FairLane<>());
    }
  }

  /** Decides about the ticket at once if possible; otherwise it waits. */
  void enter(Ticket ticket, long nowMs) {
    if (closed != null) {
      ticket.refuse(closed);
      return;
    }
    if (running < slots && queued == 0) {
      start(ticket, nowMs);
      return;
    }
    Optional<Fault> refusal = refusal(ticket.ask());
    if (refusal.isPresent()) {
      ticket.refuse(refusal.get());
      return;
    }
    lanes.get(ticket.ask().lane()).add(ticket.ask(), ticket);
    queued++;
    fill(nowMs);
  }

  /** Frees the slot of a granted ticket. */
  void release(Ticket ticket, long nowMs) {
    running--;
    serviceTime = serviceTime.with(Math.max(0, nowMs - ticket.grantedMs()));
    fill(nowMs);
  }

  /** Takes a waiting ticket out; a ticket that was decided before stays as it is. */
  void giveUp(Ticket ticket) {
    if (lanes.get(ticket.ask().lane()).remove(ticket.ask(), ticket)) {
      queued--;
      ticket.refuse(passed());
    }
  }

  void resize(int newSlots, long nowMs) {
    slots = newSlots;
    fill(nowMs);
  }

  void close(Fault reason) {
    closed = reason;
    for (FairLane<Ticket> lane : lanes.values()) {
      drain(lane, reason);
    }
    queued = 0;
  }

  int queued() {
    return queued;
  }

  int running() {
    return running;
  }

  private static void drain(FairLane<Ticket> lane, Fault reason) {
    Optional<Ticket> next = lane.poll();
    while (next.isPresent()) {
      next.get().refuse(reason);
      next = lane.poll();
    }
  }

  private Optional<Fault> refusal(Ask ask) {
    long waitMs = expectedWaitMs(ask);
    if (waitMs + serviceTime.averageMs() > ask.remainingMs()) {
      return Optional.of(
          new Fault(ResultCode.WAIT_TOO_LONG, "expected wait is " + waitMs + " ms", waitMs));
    }
    if (queued < capacity) {
      return Optional.empty();
    }
    if (makeRoom(ask)) {
      return Optional.empty();
    }
    return Optional.of(new Fault(ResultCode.QUEUE_FULL, "queue is full", waitMs));
  }

  private boolean makeRoom(Ask ask) {
    FairLane<Ticket> stale = lanes.get(Lane.STALE_READ);
    if (ask.lane() == Lane.URGENT && stale.size() > 0) {
      return evict(stale);
    }
    FairLane<Ticket> own = lanes.get(ask.lane());
    return own.isBelowLargest(ask) && evict(own);
  }

  private boolean evict(FairLane<Ticket> lane) {
    Optional<Ticket> evicted = lane.evict();
    evicted.ifPresent(
        ticket -> {
          queued--;
          long waitMs = serviceTime.waitMs(queued, slots);
          ticket.refuse(new Fault(ResultCode.QUEUE_FULL, "displaced in a full queue", waitMs));
        });
    return evicted.isPresent();
  }

  private long expectedWaitMs(Ask ask) {
    long ahead = lanes.get(ask.lane()).ahead(ask) + 1;
    if (ask.lane() == Lane.STALE_READ) {
      ahead += lanes.get(Lane.URGENT).size();
    }
    return serviceTime.waitMs(ahead, slots);
  }

  private void fill(long nowMs) {
    while (running < slots) {
      Optional<Ticket> next = pollLanes();
      if (next.isEmpty()) {
        return;
      }
      queued--;
      if (next.get().deadlineMs() <= nowMs) {
        next.get().refuse(passed());
        continue;
      }
      start(next.get(), nowMs);
    }
  }

  private Optional<Ticket> pollLanes() {
    for (FairLane<Ticket> lane : lanes.values()) {
      Optional<Ticket> next = lane.poll();
      if (next.isPresent()) {
        return next;
      }
    }
    return Optional.empty();
  }

  private void start(Ticket ticket, long nowMs) {
    running++;
    ticket.grant(nowMs);
  }

  private static Fault passed() {
    return Fault.of(ResultCode.DEADLINE_EXCEEDED, "deadline passed in the queue");
  }
}
