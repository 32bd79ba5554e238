package io.lycheejunction.proxy.holder;

import java.util.Objects;

/**
 * A request to the holder of a primary for the outcome of an idempotency key.
 *
 * @param group the name of the group
 * @param target the name of the primary
 * @param term the term in which the target must be the primary
 * @param key the idempotency key
 * @param cancelIfAbsent true to write a cancel row if the ledger has no row for the key
 * @param remainingMs the time that remains to the request's deadline, in milliseconds
 */
public record KeyQuery(
    String group, String target, long term, String key, boolean cancelIfAbsent, long remainingMs) {
  /** Rejects null components. */
  public KeyQuery {
    Objects.requireNonNull(group, "group is null");
    Objects.requireNonNull(target, "target is null");
    Objects.requireNonNull(key, "key is null");
  }
}
