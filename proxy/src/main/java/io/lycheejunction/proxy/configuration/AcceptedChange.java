package io.lycheejunction.proxy.configuration;

import java.util.Objects;

/**
 * An accepted change of the configuration, as {@code show changes} lists it.
 *
 * @param version the configuration version that the change produced
 * @param id the change's identifier
 * @param acceptedAtMs the wall-clock time of the write to the log, in milliseconds since the epoch
 * @param statement the operator statement of the change
 */
public record AcceptedChange(long version, String id, long acceptedAtMs, String statement) {
  /** Rejects null components. */
  public AcceptedChange {
    Objects.requireNonNull(id, "id is null");
    Objects.requireNonNull(statement, "statement is null");
  }
}
