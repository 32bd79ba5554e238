package io.lycheejunction.proxy.configuration;

import java.util.Objects;

/**
 * The text of one row of the configuration log.
 *
 * @param version the configuration version that the row produces
 * @param text the JSON text of the row, as stored in the table
 */
public record LogRow(long version, String text) {
  /** Rejects a null text. */
  public LogRow {
    Objects.requireNonNull(text, "text is null");
  }
}
