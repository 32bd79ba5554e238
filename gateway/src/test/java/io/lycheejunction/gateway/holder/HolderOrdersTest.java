package io.lycheejunction.gateway.holder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Failures: statements follow holders that were lost; orders fill the memory of a small VM. */
class HolderOrdersTest {
  private static final Set<String> HOLDERS = Set.of("a-v1", "a-v2", "b-v1", "b-v2");

  private final HolderOrders orders = new HolderOrders();

  @Test
  void shouldComputeOrderOnceWhileHoldersStayTheSame() {
    assertSame(orders.order(HOLDERS, "acme", "ledger"), orders.order(HOLDERS, "acme", "ledger"));
  }

  @Test
  void shouldMatchPlacementWhenHoldersChange() {
    for (Set<String> vms : List.of(HOLDERS, Set.of("a-v2", "b-v1"), HOLDERS)) {
      assertEquals(
          HolderPlacement.order(vms, "acme", "ledger"), orders.order(vms, "acme", "ledger"));
    }
  }

  @Test
  void shouldStayBoundedWhenOrganisationsAreMany() {
    for (int i = 0; i < 2 * HolderOrders.MAX_ORDERS; i++) {
      orders.order(HOLDERS, "org-" + i, "ledger");
    }

    assertEquals(HolderOrders.MAX_ORDERS, orders.size());
  }
}
