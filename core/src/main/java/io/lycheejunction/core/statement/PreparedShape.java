package io.lycheejunction.core.statement;

import java.util.Objects;

/**
 * What a prepared statement does.
 *
 * @param writes true if it writes
 * @param text the statement without its arguments
 */
public record PreparedShape(boolean writes, String text) {
  /** Rejects null components. */
  public PreparedShape {
    Objects.requireNonNull(text, "text is null");
  }
}
