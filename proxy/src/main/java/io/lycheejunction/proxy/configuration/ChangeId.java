package io.lycheejunction.proxy.configuration;

import java.util.Objects;

/**
 * An accepted change.
 *
 * @param id the change's identifier
 * @param version the version that it led to
 */
public record ChangeId(String id, long version) {
  /** Rejects a null identifier. */
  public ChangeId {
    Objects.requireNonNull(id, "id is null");
  }
}
