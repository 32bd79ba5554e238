package io.lycheejunction.gateway.holder;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Keeps the orders of {@link HolderPlacement} until the set of holders changes, since each
 * statement needs one and hashing all holders is expensive in code that is not compiled yet.
 */
public final class HolderOrders {
  /** The pairs of an organisation and a service whose orders are kept. */
  static final int MAX_ORDERS = 1_024;

  private record Pair(String organisation, String service) {}

  private record Order(Set<String> vms, List<String> holders) {}

  /** The order that was used least recently comes first. */
  private final Map<Pair, Order> orders = new LinkedHashMap<>(16, 0.75f, true);

  /** Creates an object that keeps no orders yet. */
  public HolderOrders() {}

  /**
   * Returns the holders in the order of {@link HolderPlacement#order}.
   *
   * @param vms the names of the holders
   * @param organisation the name of the organisation
   * @param service the name of the service
   * @return the names, the first choice first
   */
  public List<String> order(Set<String> vms, String organisation, String service) {
    Objects.requireNonNull(vms, "vms is null");
    Pair pair = new Pair(organisation, service);
    Order known = orders.get(pair);
    if (known != null && known.vms().equals(vms)) {
      return known.holders();
    }
    List<String> holders = HolderPlacement.order(vms, organisation, service);
    orders.put(pair, new Order(Set.copyOf(vms), holders));
    if (orders.size() > MAX_ORDERS) {
      orders.remove(orders.keySet().iterator().next());
    }
    return holders;
  }

  int size() {
    return orders.size();
  }
}
