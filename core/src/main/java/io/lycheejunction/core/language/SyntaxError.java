package io.lycheejunction.core.language;

import java.util.List;
import java.util.Objects;

/**
 * A syntax error in a statement.
 *
 * @param column the column of the first unexpected character, counted from 1
 * @param expected the tokens that would be valid at that column
 * @param found the text at that column
 */
public record SyntaxError(int column, List<String> expected, String found) {
  /** Rejects null components and copies the list. */
  public SyntaxError {
    expected = List.copyOf(expected);
    Objects.requireNonNull(found, "found is null");
  }

  /**
   * Returns a one-line description of the error.
   *
   * @return the description
   */
  public String describe() {
    return "column " + column + ": expected " + String.join(" or ", expected) + ", found " + found;
  }
}
