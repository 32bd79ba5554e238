package io.lycheejunction.bench.load;

import java.util.Objects;

/**
 * A write of one order and the result that its caller received.
 *
 * @param service the name of the service that it was sent to
 * @param id the order's identifier, which is also its idempotency key
 * @param fate the result that the caller received
 * @param target the name of the target that acknowledged it, empty if none
 * @param sentMs the monotonic time at which the caller sent it, in milliseconds
 * @param answeredMs the monotonic time at which the request ended, in milliseconds
 */
public record Order(
    String service, String id, Fate fate, String target, long sentMs, long answeredMs) {

  /** The result of the write of an order, as its caller knows it. */
  public enum Fate {
    /** The write was acknowledged. */
    ACKNOWLEDGED,
    /** The write was refused or not sent, and has not run. */
    REFUSED,
    /** The caller does not know whether the write ran. */
    UNKNOWN
  }

  /** Rejects null components. */
  public Order {
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(id, "id is null");
    Objects.requireNonNull(fate, "fate is null");
    Objects.requireNonNull(target, "target is null");
  }
}
