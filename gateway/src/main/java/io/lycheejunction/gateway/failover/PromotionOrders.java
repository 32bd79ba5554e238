package io.lycheejunction.gateway.failover;

import io.lycheejunction.gateway.target.Target;
import java.util.function.Consumer;

/** Orders promotions from the platform. */
public interface PromotionOrders {

  /** How an order ended. */
  sealed interface Outcome {

    /** The platform carries it out. */
    record Accepted() implements Outcome {}

    /**
     * The platform does not carry it out.
     *
     * @param reason why
     */
    record Rejected(String reason) implements Outcome {}

    /**
     * No answer came: the platform may carry it out, perhaps later.
     *
     * @param reason why
     */
    record Unknown(String reason) implements Outcome {}
  }

  /**
   * Orders that a target leads its service.
   *
   * @param target the target
   * @param holder the name of the process that holds the lease
   * @param token the fencing token of the lease
   * @param done is told once how it ended
   */
  void promote(Target target, String holder, long token, Consumer<Outcome> done);
}
