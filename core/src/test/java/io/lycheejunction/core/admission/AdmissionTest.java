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

class AdmissionTest {
  private static final int CAPACITY = 4;
  private final ManualClock clock = ManualClock.advancing();
  private final Admission admission = new Admission(clock, 1, CAPACITY);

  private static Ask request(String service, Lane lane) {
    return new Ask(service, 1, "vm1", lane, 1_000);
  }

  private static Optional<ResultCode> code(Ticket ticket) {
    return ticket.fault().map(Fault::code);
  }

  private static boolean isGranted(Ticket ticket) {
    return ticket.decided().getCount() == 0 && ticket.fault().isEmpty();
  }

  private static List<Ticket> granted(List<Ticket> tickets) {
    return tickets.stream().filter(AdmissionTest::isGranted).toList();
  }

  /** Runs all tickets one after the other and returns their services in the order of running. */
  private static List<String> runAll(Admission admission, Ticket running, List<Ticket> waiting) {
    List<Ticket> rest = new ArrayList<>(waiting);
    List<String> order = new ArrayList<>();
    Ticket current = running;
    while (!rest.isEmpty()) {
      admission.release(current);
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
      Ticket running = admission.submit(request("a", Lane.URGENT));
      Ticket read = admission.submit(request("reads", Lane.STALE_READ));
      Ticket write = admission.submit(request("writes", Lane.URGENT));
      assertEquals(List.of("writes", "reads"), runAll(admission, running, List.of(read, write)));
    }

    @Test
    void shouldShareByWeightWhenOneServiceOverloadsQueue() {
      Admission wide = new Admission(clock, 1, 100);
      Ticket running = wide.submit(request("first", Lane.URGENT));
      List<Ticket> waiting = new ArrayList<>();
      for (int i = 0; i < 30; i++) {
        waiting.add(wide.submit(new Ask("flood", 1, "vm1", Lane.URGENT, 1_000)));
      }
      for (int i = 0; i < 10; i++) {
        waiting.add(wide.submit(new Ask("heavy", 2, "vm1", Lane.URGENT, 1_000)));
      }
      List<String> order = runAll(wide, running, waiting).subList(0, 15);
      assertEquals(10, order.stream().filter("heavy"::equals).count(), order::toString);
    }

    @Test
    void shouldServeEntryProxiesRoundRobinWhenOneOverloadsQueue() {
      Ticket running = admission.submit(request("a", Lane.URGENT));
      final Ticket flood1 = admission.submit(new Ask("a", 1, "vm1", Lane.URGENT, 1_000));
      final Ticket flood2 = admission.submit(new Ask("a", 1, "vm1", Lane.URGENT, 1_000));
      final Ticket other = admission.submit(new Ask("a", 1, "vm2", Lane.URGENT, 1_000));
      admission.release(running);
      admission.release(flood1);
      assertTrue(isGranted(other));
      assertFalse(isGranted(flood2));
    }
  }

  @Nested
  class Refusal {
    @Test
    void shouldEvictFromLargestServiceWhenQueueIsFull() {
      admission.submit(request("flood", Lane.URGENT));
      List<Ticket> flood = new ArrayList<>();
      for (int i = 0; i < CAPACITY; i++) {
        flood.add(admission.submit(request("flood", Lane.URGENT)));
      }
      Ticket more = admission.submit(request("flood", Lane.URGENT));
      final Ticket other = admission.submit(request("other", Lane.URGENT));
      assertEquals(Optional.of(ResultCode.QUEUE_FULL), code(more));
      assertEquals(Optional.of(ResultCode.QUEUE_FULL), code(flood.getLast()));
      assertEquals(Optional.empty(), code(other));
      assertEquals(CAPACITY, admission.queued());
    }

    @Test
    void shouldRefuseAtOnceWhenExpectedWaitPassesDeadline() {
      Ticket running = admission.submit(request("a", Lane.URGENT));
      clock.advanceMs(100);
      admission.release(running);
      admission.submit(request("a", Lane.URGENT));
      admission.submit(request("a", Lane.URGENT));
      Ticket late = admission.submit(new Ask("a", 1, "vm1", Lane.URGENT, 250));
      assertEquals(Optional.of(ResultCode.WAIT_TOO_LONG), code(late));
      assertEquals(200, late.fault().orElseThrow().retryAfterMs());
    }

    @Test
    void shouldRefuseWhenDeadlinePassesInQueue() {
      admission.submit(request("a", Lane.URGENT));
      Result<Admission.Permit> result = admission.acquire(request("a", Lane.URGENT));
      assertTrue(result.isEmpty());
      assertEquals(0, admission.queued());
    }

    @Test
    void shouldNotGrantWhenDeadlineHasPassed() {
      final Ticket running = admission.submit(request("a", Lane.URGENT));
      Ticket late = admission.submit(new Ask("a", 1, "vm1", Lane.URGENT, 10));
      final Ticket next = admission.submit(request("a", Lane.URGENT));
      clock.advanceMs(10);
      admission.release(running);
      assertEquals(Optional.of(ResultCode.DEADLINE_EXCEEDED), code(late));
      assertTrue(isGranted(next));
    }

    @Test
    void shouldRefuseWaitingAndNewRequestsWhenClosed() {
      admission.submit(request("a", Lane.URGENT));
      Ticket waiting = admission.submit(request("a", Lane.STALE_READ));
      admission.close(Fault.of(ResultCode.SHUTTING_DOWN, "stop"));
      assertEquals(Optional.of(ResultCode.SHUTTING_DOWN), code(waiting));
      assertEquals(
          Optional.of(ResultCode.SHUTTING_DOWN), code(admission.submit(request("a", Lane.URGENT))));
    }
  }

  @Nested
  class Permits {
    @Test
    void shouldFreeOneSlotWhenClosedTwice() {
      Admission.Permit permit = admission.acquire(request("a", Lane.URGENT)).getOrElse(null);
      permit.close();
      permit.close();
      assertEquals(0, admission.running());
    }
  }

  @Property(seed = "11", tries = 200)
  void shouldDecideEveryTicketWithinLimitsWhenEventsAreRandom(
      @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 9) Integer> events) {
    Admission bounded = new Admission(clock, 2, CAPACITY);
    Map<Ticket, Boolean> open = new HashMap<>();
    for (int event : events) {
      if (event < 6) {
        Lane lane = event % 2 == 0 ? Lane.URGENT : Lane.STALE_READ;
        open.put(bounded.submit(request("s" + event % 3, lane)), true);
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
