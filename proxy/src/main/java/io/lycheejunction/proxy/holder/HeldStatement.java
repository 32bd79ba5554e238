package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.configuration.CutOffReads;
import io.lycheejunction.core.configuration.Durability;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.term.LogPosition;
import java.util.Objects;
import java.util.Optional;

/**
 * A single statement for the holder of a target.
 *
 * @param service the caller's service
 * @param group the group of the service
 * @param target the name of the target
 * @param term the term in which a write or a read on the primary must run
 * @param access the declared effect
 * @param statement the text of the statement
 * @param key the idempotency key, if any
 * @param floor the position that a read must see
 * @param maxAgeMs the largest age of a read's data, in milliseconds; empty for no age rule
 * @param durability when a write is acknowledged
 * @param cutOffReads what a read gets when its age cannot be proven
 * @param weight the service's share of the queue
 * @param entryVm the name of the proxy that received the request
 * @param remainingMs the time that remains to the request's deadline, in milliseconds
 */
public record HeldStatement(
    String service,
    String group,
    String target,
    long term,
    Access access,
    String statement,
    Optional<String> key,
    LogPosition floor,
    Optional<Long> maxAgeMs,
    Durability durability,
    CutOffReads cutOffReads,
    int weight,
    String entryVm,
    long remainingMs) {
  /** Rejects null components. */
  public HeldStatement {
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(group, "group is null");
    Objects.requireNonNull(target, "target is null");
    Objects.requireNonNull(access, "access is null");
    Objects.requireNonNull(statement, "statement is null");
    Objects.requireNonNull(key, "key is null");
    Objects.requireNonNull(floor, "floor is null");
    Objects.requireNonNull(maxAgeMs, "maxAgeMs is null");
    Objects.requireNonNull(durability, "durability is null");
    Objects.requireNonNull(cutOffReads, "cutOffReads is null");
    Objects.requireNonNull(entryVm, "entryVm is null");
  }
}
