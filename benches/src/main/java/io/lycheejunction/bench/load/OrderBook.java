package io.lycheejunction.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** All orders of a run as their callers remember them; safe for use by several threads. */
public final class OrderBook {
  private final List<Order> orders = new ArrayList<>();
  private final List<Order> acknowledged = new ArrayList<>();

  /**
   * Adds an order with what its caller was told.
   *
   * @param order the order
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
   * @return the orders, in the order in which they were answered
   */
  public synchronized List<Order> all() {
    return List.copyOf(orders);
  }

  /**
   * Returns a random order that was acknowledged before the given time.
   *
   * @param random chooses among a few draws
   * @param beforeMs the time in monotonic milliseconds
   * @return the order, or empty if a few draws found none
   */
  public synchronized Optional<Order> acknowledgedBefore(Random random, long beforeMs) {
    final int draws = 8;
    for (int i = 0; i < draws && !acknowledged.isEmpty(); i++) {
      Order order = acknowledged.get(random.nextInt(acknowledged.size()));
      if (order.answeredMs() < beforeMs) {
        return Optional.of(order);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns when the first order of a service was acknowledged by another target than the given
   * one.
   *
   * @param service the name of the service
   * @param otherThan the target that is left out
   * @param afterMs only answers after this time count, in monotonic milliseconds
   * @return the time in monotonic milliseconds, or empty if there was none
   */
  public synchronized Optional<Long> firstAcknowledged(
      String service, String otherThan, long afterMs) {
    return acknowledged.stream()
        .filter(order -> order.service().equals(service))
        .filter(order -> !order.target().equals(otherThan))
        .map(Order::answeredMs)
        .filter(answeredMs -> answeredMs > afterMs)
        .min(Long::compare);
  }
}
