package io.lycheejunction.bench.load;

import java.util.Objects;

/**
 * One order as its caller remembers it.
 *
 * @param service the service that it was sent to
 * @param id the order's identifier, which is also its idempotency key
 * @param fate what the caller was told last
 * @param target the target that answered, empty if none
 * @param sentMs when the caller sent it, in monotonic milliseconds
 * @param answeredMs when the caller had the answer, in monotonic milliseconds
 */
public record Order(
    String service, String id, Fate fate, String target, long sentMs, long answeredMs) {

  /** What a caller was told of an order. */
  public enum Fate {
    /** It was done. */
    ACKNOWLEDGED,
    /** It was refused and has not run. */
    REFUSED,
    /** Its outcome is not known to the caller. */
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
