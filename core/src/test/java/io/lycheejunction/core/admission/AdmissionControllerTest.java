package io.lycheejunction.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.clock.ManualClock;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AdmissionControllerTest {
  private static final int CAPACITY = 4;
  private final ManualClock clock = ManualClock.advancing();
  private final AdmissionController controller = new AdmissionController(clock, 1, CAPACITY);

  private static AdmissionRequest request(String service, PriorityClass priorityClass) {
    return new AdmissionRequest(service, 1, "vm1", priorityClass, 1_000);
  }

  private static Optional<ResultCode> code(Ticket ticket) {
    return ticket.fault().map(Fault::code);
  }

  private static boolean isGranted(Ticket ticket) {
    return ticket.decided().getCount() == 0 && ticket.fault().isEmpty();
  }

  private static List<Ticket> granted(List<Ticket> tickets) {
    return tickets.stream().filter(AdmissionControllerTest::isGranted).toList();
  }

  /** Runs all tickets one after the other and returns their services in the order of running. */
  private static List<String> runAll(
      AdmissionController controller, Ticket running, List<Ticket> waiting) {
    List<Ticket> rest = new ArrayList<>(waiting);
    List<String> order = new ArrayList<>();
    Ticket current = running;
    while (!rest.isEmpty()) {
      controller.release(current);
      current = granted(rest).getFirst();
      rest.remove(current);
      order.add(current.request().service());
    }
    return order;
  }

  @Nested
  class Order {
    @Test
    void shouldServeWritesFirstWhenStaleReadsArrivedEarlier() {
      Ticket running = controller.submit(request("a", PriorityClass.URGENT));
      Ticket read = controller.submit(request("reads", PriorityClass.STALE_READ));
      Ticket write = controller.submit(request("writes", PriorityClass.URGENT));
      assertEquals(List.of("writes", "reads"), runAll(controller, running, List.of(read, write)));
    }

    @Test
    void shouldShareByWeightWhenOneServiceOverloadsQueue() {
      AdmissionController wide = new AdmissionController(clock, 1, 100);
      Ticket running = wide.submit(request("first", PriorityClass.URGENT));
      List<Ticket> waiting = new ArrayList<>();
      for (int i = 0; i < 30; i++) {
        waiting.add(
            wide.submit(new AdmissionRequest("flood", 1, "vm1", PriorityClass.URGENT, 1_000)));
      }
      for (int i = 0; i < 10; i++) {
        waiting.add(
            wide.submit(new AdmissionRequest("heavy", 2, "vm1", PriorityClass.URGENT, 1_000)));
      }
      List<String> order = runAll(wide, running, waiting).subList(0, 15);
      assertEquals(10, order.stream().filter("heavy"::equals).count(), order::toString);
    }

    @Test
    void shouldServeEntryProxiesRoundRobinWhenOneOverloadsQueue() {
      Ticket running = controller.submit(request("a", PriorityClass.URGENT));
      final Ticket flood1 =
          controller.submit(new AdmissionRequest("a", 1, "vm1", PriorityClass.URGENT, 1_000));
      final Ticket flood2 =
          controller.submit(new AdmissionRequest("a", 1, "vm1", PriorityClass.URGENT, 1_000));
      final Ticket other =
          controller.submit(new AdmissionRequest("a", 1, "vm2", PriorityClass.URGENT, 1_000));
      controller.release(running);
      controller.release(flood1);
      assertTrue(isGranted(other));
      assertFalse(isGranted(flood2));
    }
  }

  @Nested
  class Refusal {
    @Test
    void shouldEvictFromLargestServiceWhenQueueIsFull() {
      controller.submit(request("flood", PriorityClass.URGENT));
      List<Ticket> flood = new ArrayList<>();
      for (int i = 0; i < CAPACITY; i++) {
        flood.add(controller.submit(request("flood", PriorityClass.URGENT)));
      }
      Ticket more = controller.submit(request("flood", PriorityClass.URGENT));
      final Ticket other = controller.submit(request("other", PriorityClass.URGENT));
      assertEquals(Optional.of(ResultCode.QUEUE_FULL), code(more));
      assertEquals(Optional.of(ResultCode.QUEUE_FULL), code(flood.getLast()));
      assertEquals(Optional.empty(), code(other));
      assertEquals(CAPACITY, controller.queued());
    }

    @Test
    void shouldRefuseAtOnceWhenExpectedWaitPassesDeadline() {
      Ticket running = controller.submit(request("a", PriorityClass.URGENT));
      clock.advanceMs(100);
      controller.release(running);
      controller.submit(request("a", PriorityClass.URGENT));
      controller.submit(request("a", PriorityClass.URGENT));
      Ticket late =
          controller.submit(new AdmissionRequest("a", 1, "vm1", PriorityClass.URGENT, 250));
      assertEquals(Optional.of(ResultCode.WAIT_TOO_LONG), code(late));
      assertEquals(200, late.fault().orElseThrow().retryAfterMs());
    }

    @Test
    void shouldRefuseWhenDeadlinePassesInQueue() {
      controller.submit(request("a", PriorityClass.URGENT));
      Result<AdmissionController.Permit> result =
          controller.acquire(request("a", PriorityClass.URGENT));
      assertTrue(result.isEmpty());
      assertEquals(0, controller.queued());
    }

    @Test
    void shouldNotGrantWhenDeadlineHasPassed() {
      final Ticket running = controller.submit(request("a", PriorityClass.URGENT));
      Ticket late =
          controller.submit(new AdmissionRequest("a", 1, "vm1", PriorityClass.URGENT, 10));
      final Ticket next = controller.submit(request("a", PriorityClass.URGENT));
      clock.advanceMs(10);
      controller.release(running);
      assertEquals(Optional.of(ResultCode.DEADLINE_EXCEEDED), code(late));
      assertTrue(isGranted(next));
    }

    @Test
    void shouldRefuseWaitingAndNewRequestsWhenClosed() {
      controller.submit(request("a", PriorityClass.URGENT));
      Ticket waiting = controller.submit(request("a", PriorityClass.STALE_READ));
      controller.close(Fault.of(ResultCode.SHUTTING_DOWN, "stop"));
      assertEquals(Optional.of(ResultCode.SHUTTING_DOWN), code(waiting));
      assertEquals(
          Optional.of(ResultCode.SHUTTING_DOWN),
          code(controller.submit(request("a", PriorityClass.URGENT))));
    }
  }

  @Nested
  class Permits {
    @Test
    void shouldFreeOneSlotWhenClosedTwice() {
      AdmissionController.Permit permit =
          controller.acquire(request("a", PriorityClass.URGENT)).getOrElse(null);
      permit.close();
      permit.close();
      assertEquals(0, controller.running());
    }
  }

  @Property(seed = "11", tries = 200)
  void shouldDecideEveryTicketWithinLimitsWhenEventsAreRandom(
      @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 9) Integer> events) {
    AdmissionController bounded = new AdmissionController(clock, 2, CAPACITY);
    Map<Ticket, Boolean> open = new HashMap<>();
    for (int event : events) {
      if (event < 6) {
        PriorityClass priorityClass =
            event % 2 == 0 ? PriorityClass.URGENT : PriorityClass.STALE_READ;
        open.put(bounded.submit(request("s" + event % 3, priorityClass)), true);
      } else {
        granted(List.copyOf(open.keySet())).stream()
            .findFirst()
            .ifPresent(
                ticket -> {
                  open.remove(ticket);
                  bounded.release(ticket);
                });
      }
      long undecided =
          open.keySet().stream().filter(ticket -> ticket.decided().getCount() > 0).count();
      assertEquals(undecided, bounded.queued());
      assertEquals(granted(List.copyOf(open.keySet())).size(), bounded.running());
      assertTrue(bounded.running() <= 2 && bounded.queued() <= CAPACITY);
      assertTrue(bounded.queued() == 0 || bounded.running() == 2);
    }
  }
}
