package io.lycheejunction.bench.demo;

import io.lycheejunction.bench.load.Order;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * What the ledgers say against what callers were told.
 *
 * @param acknowledged the orders that were acknowledged
 * @param lost those of them that no ledger holds
 * @param doubled the orders that a ledger holds more than once, whatever callers were told
 * @param untrueRefusals the orders that a ledger holds though callers were told that they have not
 *     run
 */
public record Reconciliation(long acknowledged, long lost, long doubled, long untrueRefusals) {

  /**
   * Returns the comparison of callers' records with the keys of all ledger rows.
   *
   * @param orders the orders as their callers remember them
   * @param ledgerKeys the key of each ledger row, repeated for each row
   * @return the counts
   */
  public static Reconciliation of(List<Order> orders, List<String> ledgerKeys) {
    Map<String, Long> rows =
        ledgerKeys.stream()
            .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
    long acknowledged = count(orders, Order.Fate.ACKNOWLEDGED);
    long lost =
        orders.stream()
            .filter(order -> order.fate() == Order.Fate.ACKNOWLEDGED)
            .filter(order -> !rows.containsKey(order.id()))
            .count();
    long doubled = rows.values().stream().filter(n -> n > 1).count();
    long untrue =
        orders.stream()
            .filter(order -> order.fate() == Order.Fate.REFUSED)
            .filter(order -> rows.containsKey(order.id()))
            .count();
    return new Reconciliation(acknowledged, lost, doubled, untrue);
  }

  private static long count(List<Order> orders, Order.Fate fate) {
    return orders.stream().filter(order -> order.fate() == fate).count();
  }
}
