package io.lycheejunction.proxy.configuration;

import java.util.Objects;

/**
 * A row that cannot be applied and blocks all rows after it.
 *
 * @param version the configuration version that the row would produce
 * @param reason why the row cannot be applied, in one readable line
 */
public record PoisonedRow(long version, String reason) {
  /** Rejects a null reason. */
  public PoisonedRow {
    Objects.requireNonNull(reason, "reason is null");
  }
}
