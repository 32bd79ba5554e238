package io.lycheejunction.core.language;

import java.util.List;
import java.util.Objects;

/**
 * Where a text leaves the grammar.
 *
 * @param column the column of the first character that does not fit, counted from 1
 * @param expected what would fit there
 * @param found what stands there
 */
public record SyntaxError(int column, List<String> expected, String found) {
  /** Rejects null components and copies the list. */
  public SyntaxError {
    expected = List.copyOf(expected);
    Objects.requireNonNull(found, "found is null");
  }

  /**
   * Returns the error on one line.
   *
   * @return the line
   */
  public String describe() {
    return "column " + column + ": expected " + String.join(" or ", expected) + ", found " + found;
  }
}
