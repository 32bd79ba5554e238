package io.lycheejunction.bench.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.lycheejunction.bench.load.Order;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReconciliationTest {
  private static Order order(String id, Order.Fate fate) {
    return new Order("orders-g1", id, fate, "g1-1", 0, 1);
  }

  @Nested
  class Of {
    @Test
    void shouldCountLostWhenAcknowledgedOrderIsInNoLedger() {
      List<Order> orders = List.of(order("a", Order.Fate.ACKNOWLEDGED));
      assertEquals(new Reconciliation(1, 1, 0, 0), Reconciliation.of(orders, List.of()));
    }

    @Test
    void shouldCountDuplicatedWhenOrderOfUnknownOutcomeIsInLedgerTwice() {
      List<Order> orders = List.of(order("a", Order.Fate.UNKNOWN));
      assertEquals(new Reconciliation(0, 0, 1, 0), Reconciliation.of(orders, List.of("a", "a")));
    }

    @Test
    void shouldCountFalseRefusalWhenRefusedOrderIsInLedger() {
      List<Order> orders = List.of(order("a", Order.Fate.REFUSED));
      assertEquals(new Reconciliation(0, 0, 0, 1), Reconciliation.of(orders, List.of("a")));
    }

    @Test
    void shouldCountNoDifferenceWhenLedgersMatchAnswers() {
      List<Order> orders =
          List.of(
              order("a", Order.Fate.ACKNOWLEDGED),
              order("b", Order.Fate.REFUSED),
              order("c", Order.Fate.UNKNOWN));
      assertEquals(new Reconciliation(1, 0, 0, 0), Reconciliation.of(orders, List.of("a", "c")));
    }
  }
}
