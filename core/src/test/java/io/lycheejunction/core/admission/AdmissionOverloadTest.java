package io.lycheejunction.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against goodput collapse under overload: without early refusal, requests wait so long in
 * the queue that they end after their deadlines. Runs in virtual time, at and above the capacity of
 * the target.
 */
class AdmissionOverloadTest {
  private static final int SLOTS = 3;
  private static final int CAPACITY = 512;
  private static final long SERVICE_MS = 10;
  private static final long DEADLINE_MS = 100;
  private static final long RUN_MS = 10_000;

  private record Running(Ticket ticket, long endMs) {}

  private final AdmissionState state = new AdmissionState(SLOTS, CAPACITY);
  private final Deque<Running> running = new ArrayDeque<>();
  private final List<Ticket> waiting = new ArrayList<>();
  private long goodput;
  private long late;
  private long maxQueued;

  private void run(int arrivalsPerStep, long stepMs) {
    for (long nowMs = 0; nowMs < RUN_MS; nowMs++) {
      finish(nowMs);
      if (nowMs % stepMs == 0) {
        arrive(arrivalsPerStep, nowMs);
      }
      startGranted(nowMs);
      maxQueued = Math.max(maxQueued, state.queued());
    }
  }

  private void arrive(int count, long nowMs) {
    for (int i = 0; i < count; i++) {
      AdmissionRequest request =
          new AdmissionRequest("s" + i % 3, 1, "vm" + i % 2, PriorityClass.URGENT, DEADLINE_MS);
      Ticket ticket = new Ticket(request, nowMs);
      state.submit(ticket, nowMs);
      waiting.add(ticket);
    }
  }

  private void startGranted(long nowMs) {
    for (Ticket ticket : List.copyOf(waiting)) {
      if (ticket.decided().getCount() > 0) {
        continue;
      }
      waiting.remove(ticket);
      if (ticket.fault().isEmpty()) {
        running.add(new Running(ticket, nowMs + SERVICE_MS));
      }
    }
  }

  private void finish(long nowMs) {
    while (!running.isEmpty() && running.peekFirst().endMs() <= nowMs) {
      Ticket ticket = running.pollFirst().ticket();
      state.release(ticket, nowMs);
      if (nowMs <= ticket.deadlineMs()) {
        goodput++;
      } else {
        late++;
      }
      startGranted(nowMs);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 9, 30})
  void shouldKeepGoodputWhenLoadPassesCapacity(int arrivalsPerStep) {
    run(arrivalsPerStep, SERVICE_MS);
    long capacity = SLOTS * (RUN_MS / SERVICE_MS);
    assertTrue(goodput >= 0.9 * capacity, "goodput " + goodput + " of " + capacity);
    assertTrue(late <= 0.01 * capacity, "late " + late);
  }

  @Test
  void shouldBoundQueueByDeadlineWhenOverloaded() {
    run(30, SERVICE_MS);
    assertTrue(maxQueued <= SLOTS * DEADLINE_MS / SERVICE_MS + 30, "queued " + maxQueued);
    assertEquals(SLOTS, state.running());
  }
}
