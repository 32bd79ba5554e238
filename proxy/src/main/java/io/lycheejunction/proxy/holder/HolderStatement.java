package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.configuration.CutOffReads;
import io.lycheejunction.core.configuration.Durability;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.term.LogPosition;
import java.util.Objects;
import java.util.Optional;

/**
 * A single statement, outside a transaction, that the holder of a target is to run.
 *
 * @param service the name of the caller's service
 * @param group the name of the service's group
 * @param target the name of the target
 * @param term the term in which a write or a read on the primary must run
 * @param access whether the caller declared the statement as a read or a write
 * @param statement the text of the statement
 * @param key the idempotency key, if any
 * @param floor the minimum log position of the data that a read returns
 * @param maxAgeMs the maximum age of a read's data, in milliseconds; empty for no limit
 * @param durability which instances must have received a write before it is acknowledged
 * @param cutOffReads whether a read is refused when no majority can confirm the age of its data
 * @param weight the service's weight in the fair queue of the target
 * @param entryVm the name of the proxy that received the request
 * @param remainingMs the time that remains to the request's deadline, in milliseconds
 */
public record HolderStatement(
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
  public HolderStatement {
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
