package io.lycheejunction.proxy.configuration;

import io.lycheejunction.core.configuration.Change;
import java.util.Objects;
import java.util.Optional;

/**
 * A change that an operator requests.
 *
 * @param id the change's identifier
 * @param change the change
 * @param ifVersion the version that the configuration must have for the change to be accepted, if
 *     any
 */
public record ChangeRequest(String id, Change change, Optional<Long> ifVersion) {
  /** Rejects null components. */
  public ChangeRequest {
    Objects.requireNonNull(id, "id is null");
    Objects.requireNonNull(change, "change is null");
    Objects.requireNonNull(ifVersion, "ifVersion is null");
  }
}
