package io.lycheejunction.core.language;

import java.util.Objects;
import java.util.OptionalInt;

/** One value of a table or of a comparison. */
public sealed interface Cell {

  /**
   * A text.
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
   * A whole number.
   *
   * @param value the number
   */
  record Count(long value) implements Cell {}

  /**
   * A duration.
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
   * Returns how this value compares with another.
   *
   * @param other the other value
   * @return negative, zero or positive; empty if the two are of different kinds
   */
  default OptionalInt compare(Cell other) {
    if (this instanceof Text(String a) && other instanceof Text(String b)) {
      return OptionalInt.of(a.compareTo(b));
    }
    if (this instanceof Count(long a) && other instanceof Count(long b)) {
      return OptionalInt.of(Long.compare(a, b));
    }
    if (this instanceof Duration(long a) && other instanceof Duration(long b)) {
      return OptionalInt.of(Long.compare(a, b));
    }
    return OptionalInt.empty();
  }

  /**
   * Returns the value as a table shows it.
   *
   * @return the text
   */
  default String show() {
    return switch (this) {
      case Text(String value) -> value;
      case Count(long value) -> String.valueOf(value);
      case Duration(long valueMs) -> Units.print(valueMs);
      case Unknown() -> "-";
    };
  }
}
