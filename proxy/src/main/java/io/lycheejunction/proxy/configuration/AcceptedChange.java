package io.lycheejunction.proxy.configuration;

import java.util.Objects;

/**
 * A change of the log, as operators see it.
 *
 * @param version the version that it led to
 * @param id the change's identifier
 * @param acceptedAtMs the wall-clock time of the write, in milliseconds since the epoch
 * @param statement the statement that asks for it
 */
public record AcceptedChange(long version, String id, long acceptedAtMs, String statement) {
  /** Rejects null components. */
  public AcceptedChange {
    Objects.requireNonNull(id, "id is null");
    Objects.requireNonNull(statement, "statement is null");
  }
}
