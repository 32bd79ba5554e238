package io.lycheejunction.gateway.failover;

import io.lycheejunction.gateway.target.Target;
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
   * Orders the promotion of a target to primary of its service.
   *
   * @param target the target to promote
   * @param holder the name of the process that holds the lease
   * @param token the fencing token of the lease
   * @param done is called once with the result
   */
  void promote(Target target, String holder, long token, Consumer<Outcome> done);
}
