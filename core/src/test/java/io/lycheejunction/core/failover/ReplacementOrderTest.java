package io.lycheejunction.core.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Guards against VMs that disagree on who replaces a primary, and so replace it at once. */
class ReplacementOrderTest {
  private static final Map<String, String> VMS =
      Map.of("a-1", "a", "a-2", "a", "a-3", "a", "b-1", "b", "b-2", "b", "c-1", "c");

  @Test
  void shouldReturnTheSameOrderWhenVmsAreKnownInAnotherOrder() {
    assertEquals(
        ReplacementOrder.orderOf("ledger", VMS),
        ReplacementOrder.orderOf("ledger", new TreeMap<>(VMS)));
  }

  /** The successor of a VM whose failure domain is cut off must not be in that domain. */
  @Test
  void shouldAlternateBetweenFailureDomains() {
    List<String> domains = ReplacementOrder.orderOf("ledger", VMS).stream().map(VMS::get).toList();

    assertEquals(3, domains.subList(0, 3).stream().distinct().count());
    assertEquals(2, domains.subList(3, 5).stream().distinct().count());
    assertEquals("a", domains.getLast());
  }

  @Test
  void shouldKeepTheOrderOfTheOthersWhenTheFirstVmIsGone() {
    Map<String, String> onePerDomain = Map.of("a-1", "a", "b-1", "b", "c-1", "c");
    List<String> order = ReplacementOrder.orderOf("ledger", onePerDomain);
    Map<String, String> others = new HashMap<>(onePerDomain);
    others.remove(order.getFirst());

    assertEquals(order.subList(1, 3), ReplacementOrder.orderOf("ledger", others));
    assertEquals(2, ReplacementOrder.positionOf(order.getFirst(), "ledger", others));
  }
}
