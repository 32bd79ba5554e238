package io.lycheejunction.bench.demo;

import io.lycheejunction.bench.load.Order;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The differences between the rows of the ledgers and the answers that callers received.
 *
 * @param acknowledged the number of acknowledged orders
 * @param lost the number of acknowledged orders that are in no ledger
 * @param duplicated the number of orders that are in the ledgers more than once, whatever the
 *     answer
 * @param falseRefusals the number of orders that are in a ledger although the answer was that they
 *     had not run
 */
public record Reconciliation(long acknowledged, long lost, long duplicated, long falseRefusals) {

  /**
   * Returns the counts of differences between callers' records and the rows of all ledgers.
   *
   * @param orders the orders, each with the answer that its caller received
   * @param ledgerKeys the key of each ledger row, repeated for each row
   * @return the counts of orders
   */
  public static Reconciliation of(List<Order> orders, List<String> ledgerKeys) {
    Map<String, Long> rowsByOrder =
        ledgerKeys.stream()
            .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
    long acknowledged = count(orders, Order.Fate.ACKNOWLEDGED);
    long lost =
        orders.stream()
            .filter(order -> order.fate() == Order.Fate.ACKNOWLEDGED)
            .filter(order -> !rowsByOrder.containsKey(order.id()))
            .count();
    long duplicated = rowsByOrder.values().stream().filter(rowCount -> rowCount > 1).count();
    long falseRefusals =
        orders.stream()
            .filter(order -> order.fate() == Order.Fate.REFUSED)
            .filter(order -> rowsByOrder.containsKey(order.id()))
            .count();
    return new Reconciliation(acknowledged, lost, duplicated, falseRefusals);
  }

  private static long count(List<Order> orders, Order.Fate fate) {
    return orders.stream().filter(order -> order.fate() == fate).count();
  }
}
