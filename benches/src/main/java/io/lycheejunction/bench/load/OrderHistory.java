package io.lycheejunction.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** Thread-safe record of all orders of a run and the results that their callers received. */
public final class OrderHistory {
  private final List<Order> orders = new ArrayList<>();
  private final List<Order> acknowledged = new ArrayList<>();

  /**
   * Adds an order.
   *
   * @param order the order with its result
   */
  public synchronized void add(Order order) {
    orders.add(order);
    if (order.fate() == Order.Fate.ACKNOWLEDGED) {
      acknowledged.add(order);
    }
  }

  /**
   * Returns all orders.
   *
   * @return an immutable copy, in the order in which the orders were added
   */
  public synchronized List<Order> all() {
    return List.copyOf(orders);
  }

  /**
   * Returns a random order that was acknowledged before the given time.
   *
   * @param random the source of the random draws
   * @param beforeMs the monotonic time, in milliseconds
   * @return the order, or empty if none of a few random draws was acknowledged before that time
   */
  public synchronized Optional<Order> acknowledgedBefore(Random random, long beforeMs) {
    final int maxDraws = 8;
    for (int i = 0; i < maxDraws && !acknowledged.isEmpty(); i++) {
      Order order = acknowledged.get(random.nextInt(acknowledged.size()));
      if (order.answeredMs() < beforeMs) {
        return Optional.of(order);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the time of the first acknowledgement of an order by any target except the given one.
   *
   * @param service the name of the service
   * @param excludedTarget the name of the target whose acknowledgements do not count
   * @param afterMs the monotonic time before and at which acknowledgements do not count, in
   *     milliseconds
   * @return the monotonic time in milliseconds, or empty if there was none
   */
  public synchronized Optional<Long> firstAcknowledgedMsByOtherTarget(
      String service, String excludedTarget, long afterMs) {
    return acknowledged.stream()
        .filter(order -> order.service().equals(service))
        .filter(order -> !order.target().equals(excludedTarget))
        .map(Order::answeredMs)
        .filter(answeredMs -> answeredMs > afterMs)
        .min(Long::compare);
  }
}
