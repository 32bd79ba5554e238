package io.lycheejunction.core.language;

import java.util.Objects;
import java.util.OptionalInt;

/** A value in a table cell or on the right side of a comparison. */
public sealed interface Cell {

  /**
   * A text value.
   *
   * @param value the text
   */
  record Text(String value) implements Cell {
    /** Rejects a null value. */
    public Text {
      Objects.requireNonNull(value, "value is null");
    }
  }

  /**
   * An integer value.
   *
   * @param value the number
   */
  record Count(long value) implements Cell {}

  /**
   * A duration value.
   *
   * @param valueMs the duration in milliseconds
   */
  record Duration(long valueMs) implements Cell {}

  /** A value that is not known. */
  record Unknown() implements Cell {}

  /**
   * Returns a cell that holds the text.
   *
   * @param value the text
   * @return the cell
   */
  static Cell text(String value) {
    return new Text(value);
  }

  /**
   * Returns a cell that holds the number.
   *
   * @param value the number
   * @return the cell
   */
  static Cell count(long value) {
    return new Count(value);
  }

  /**
   * Returns a cell that holds the duration.
   *
   * @param valueMs the duration in milliseconds
   * @return the cell
   */
  static Cell duration(long valueMs) {
    return new Duration(valueMs);
  }

  /**
   * Returns the cell of a value that is not known.
   *
   * @return the cell
   */
  static Cell unknown() {
    return new Unknown();
  }

  /**
   * Returns the result of comparing this value with another.
   *
   * @param other the other value
   * @return a negative number, zero or a positive number if this value is less than, equal to or
   *     greater than the other; empty if they are of different kinds or one is unknown
   */
  default OptionalInt compare(Cell other) {
    if (this instanceof Text(String left) && other instanceof Text(String right)) {
      return OptionalInt.of(left.compareTo(right));
    }
    if (this instanceof Count(long left) && other instanceof Count(long right)) {
      return OptionalInt.of(Long.compare(left, right));
    }
    if (this instanceof Duration(long left) && other instanceof Duration(long right)) {
      return OptionalInt.of(Long.compare(left, right));
    }
    return OptionalInt.empty();
  }

  /**
   * Returns the text of the value in a table.
   *
   * @return the text; {@code -} for an unknown value
   */
  default String show() {
    return switch (this) {
      case Text(String value) -> value;
      case Count(long value) -> String.valueOf(value);
      case Duration(long valueMs) -> Durations.print(valueMs);
      case Unknown() -> "-";
    };
  }
}
