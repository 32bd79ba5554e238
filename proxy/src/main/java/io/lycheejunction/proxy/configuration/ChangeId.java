package io.lycheejunction.proxy.configuration;

import java.util.Objects;

/**
 * The identifier of an accepted change with the version that the change produced.
 *
 * @param id the change's identifier
 * @param version the configuration version that the change produced
 */
public record ChangeId(String id, long version) {
  /** Rejects a null identifier. */
  public ChangeId {
    Objects.requireNonNull(id, "id is null");
  }
}
