package io.lycheejunction.proxy.configuration;

import java.util.Objects;

/**
 * The text of one row of the configuration log.
 *
 * @param version the version that the row leads to
 * @param text the JSON text of the row, as the table has it
 */
public record LogRow(long version, String text) {
  /** Rejects a null text. */
  public LogRow {
    Objects.requireNonNull(text, "text is null");
  }
}
