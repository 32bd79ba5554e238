package io.lycheejunction.gateway.failover;

import io.lycheejunction.gateway.target.Target;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Sends promotion orders to the platform. */
public interface PromotionOrders {

  /** The result of an order. */
  sealed interface Outcome {

    /** The platform accepted the order. */
    record Accepted() implements Outcome {}

    /**
     * The platform rejected the order.
     *
     * @param reason why it was rejected
     */
    record Rejected(String reason) implements Outcome {}

    /**
     * No answer arrived; the platform may still carry out the order, possibly later.
     *
     * @param reason why there is no answer
     */
    record Unknown(String reason) implements Outcome {}
  }

  /**
   * An order to promote a target to primary of its service.
   *
   * @param target the target to promote
   * @param holder the name of the process that holds the lease
   * @param token the fencing token of the lease
   */
  record Order(Target target, String holder, long token) {
    /** Rejects null components. */
    public Order {
      Objects.requireNonNull(target, "target is null");
      Objects.requireNonNull(holder, "holder is null");
    }
  }

  /**
   * Sends an order.
   *
   * @param order the order
   * @param maySend asked right before the order is written to the connection, which may take some
   *     time to open; if it returns false, the order is not sent and its outcome is unknown
   * @param done is called once with the result
   */
  void promote(Order order, BooleanSupplier maySend, Consumer<Outcome> done);
}
