package io.lycheejunction.proxy.configuration;

import java.util.Objects;

/**
 * A row that cannot be applied, which holds back all rows after it.
 *
 * @param version the version that the row leads to
 * @param reason one line for a person
 */
public record Poison(long version, String reason) {
  /** Rejects a null reason. */
  public Poison {
    Objects.requireNonNull(reason, "reason is null");
  }
}
