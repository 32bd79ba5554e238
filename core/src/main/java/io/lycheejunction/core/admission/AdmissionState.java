package io.lycheejunction.core.admission;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/** Decides which requests to one target run, wait or are refused; not safe for concurrent use. */
final class AdmissionState {
  private final Map<PriorityClass, WeightedFairQueue<Ticket>> queues =
      new EnumMap<>(PriorityClass.class);
  private final int capacity;
  private int slots;
  private int running;
  private int queued;
  private ServiceTime serviceTime = ServiceTime.none();
  private Fault closeReason;

  AdmissionState(int slots, int capacity) {
    this.slots = slots;
    this.capacity = capacity;
    for (PriorityClass priorityClass : PriorityClass.values()) {
      queues.put(priorityClass, new WeightedFairQueue<>());
    }
  }

  /** Grants or refuses the ticket at once if possible; otherwise queues it. */
  void submit(Ticket ticket, long nowMs) {
    if (closeReason != null) {
      ticket.refuse(closeReason);
      return;
    }
    if (running < slots && queued == 0) {
      grant(ticket, nowMs);
      return;
    }
    Optional<Fault> refusal = refusal(ticket.request());
    if (refusal.isPresent()) {
      ticket.refuse(refusal.get());
      return;
    }
    queues.get(ticket.request().priorityClass()).add(ticket.request(), ticket);
    queued++;
    grantFreeSlots(nowMs);
  }

  /** Frees the slot of a granted ticket and grants waiting ones. */
  void release(Ticket ticket, long nowMs) {
    running--;
    serviceTime = serviceTime.withSample(Math.max(0, nowMs - ticket.grantedMs()));
    grantFreeSlots(nowMs);
  }

  /** Removes a waiting ticket from its queue; a ticket that is already decided stays as it is. */
  void cancel(Ticket ticket) {
    if (queues.get(ticket.request().priorityClass()).remove(ticket.request(), ticket)) {
      queued--;
      ticket.refuse(deadlineExceeded());
    }
  }

  void resize(int newSlots, long nowMs) {
    slots = newSlots;
    grantFreeSlots(nowMs);
  }

  void close(Fault reason) {
    closeReason = reason;
    for (WeightedFairQueue<Ticket> queue : queues.values()) {
      refuseAll(queue, reason);
    }
    queued = 0;
  }

  int queued() {
    return queued;
  }

  int running() {
    return running;
  }

  private static void refuseAll(WeightedFairQueue<Ticket> queue, Fault reason) {
    Optional<Ticket> next = queue.poll();
    while (next.isPresent()) {
      next.get().refuse(reason);
      next = queue.poll();
    }
  }

  private Optional<Fault> refusal(AdmissionRequest request) {
    long waitMs = expectedWaitMs(request);
    if (waitMs + serviceTime.averageMs() > request.remainingMs()) {
      return Optional.of(
          new Fault(ResultCode.WAIT_TOO_LONG, "expected wait is " + waitMs + " ms", waitMs));
    }
    if (queued < capacity) {
      return Optional.empty();
    }
    if (evictFor(request)) {
      return Optional.empty();
    }
    return Optional.of(new Fault(ResultCode.QUEUE_FULL, "queue is full", waitMs));
  }

  private boolean evictFor(AdmissionRequest request) {
    WeightedFairQueue<Ticket> staleReads = queues.get(PriorityClass.STALE_READ);
    if (request.priorityClass() == PriorityClass.URGENT && staleReads.size() > 0) {
      return evictFrom(staleReads);
    }
    WeightedFairQueue<Ticket> own = queues.get(request.priorityClass());
    return own.isBelowLargestLoad(request) && evictFrom(own);
  }

  private boolean evictFrom(WeightedFairQueue<Ticket> queue) {
    Optional<Ticket> evicted = queue.evict();
    evicted.ifPresent(
        ticket -> {
          queued--;
          long waitMs = serviceTime.waitMs(queued, slots);
          ticket.refuse(
              new Fault(
                  ResultCode.QUEUE_FULL, "displaced from a full queue by another request", waitMs));
        });
    return evicted.isPresent();
  }

  private long expectedWaitMs(AdmissionRequest request) {
    long requestsAhead = queues.get(request.priorityClass()).itemsAhead(request) + 1;
    if (request.priorityClass() == PriorityClass.STALE_READ) {
      requestsAhead += queues.get(PriorityClass.URGENT).size();
    }
    return serviceTime.waitMs(requestsAhead, slots);
  }

  private void grantFreeSlots(long nowMs) {
    while (running < slots) {
      Optional<Ticket> next = pollQueues();
      if (next.isEmpty()) {
        return;
      }
      queued--;
      if (next.get().deadlineMs() <= nowMs) {
        next.get().refuse(deadlineExceeded());
        continue;
      }
      grant(next.get(), nowMs);
    }
  }

  private Optional<Ticket> pollQueues() {
    for (WeightedFairQueue<Ticket> queue : queues.values()) {
      Optional<Ticket> next = queue.poll();
      if (next.isPresent()) {
        return next;
      }
    }
    return Optional.empty();
  }

  private void grant(Ticket ticket, long nowMs) {
    running++;
    ticket.grant(nowMs);
  }

  private static Fault deadlineExceeded() {
    return Fault.of(ResultCode.DEADLINE_EXCEEDED, "deadline passed in the queue");
  }
}
