package io.lycheejunction.core.statement;

import java.util.Objects;

/**
 * The definition of a prepared statement.
 *
 * @param writes true if the statement writes
 * @param text the text of the statement, without arguments
 */
public record PreparedStatement(boolean writes, String text) {
  /** Rejects null components. */
  public PreparedStatement {
    Objects.requireNonNull(text, "text is null");
  }
}
