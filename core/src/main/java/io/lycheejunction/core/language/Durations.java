package io.lycheejunction.core.language;

import java.util.List;

/** Prints and parses durations with a unit, such as {@code 1500ms} or {@code 2s}. */
final class Durations {
  private record Unit(String name, long lengthMs) {}

  /** The units, largest first. */
  private static final List<Unit> UNITS =
      List.of(
          new Unit("h", 3_600_000), new Unit("m", 60_000), new Unit("s", 1_000), new Unit("ms", 1));

  private Durations() {}

  /**
   * Returns the text of a duration in the largest unit that yields a whole number.
   *
   * @param durationMs the duration in milliseconds
   * @return the number with its unit
   */
  static String print(long durationMs) {
    if (durationMs == 0) {
      return "0ms";
    }
    for (Unit unit : UNITS) {
      if (durationMs % unit.lengthMs() == 0) {
        return durationMs / unit.lengthMs() + unit.name();
      }
    }
    return durationMs + "ms";
  }

  /**
   * Returns the duration that a number with a unit denotes.
   *
   * @param text digits followed by a unit
   * @return the duration in milliseconds
   */
  static long parse(String text) {
    int digits = 0;
    while (Character.isDigit(text.charAt(digits))) {
      digits++;
    }
    long number = Long.parseLong(text.substring(0, digits));
    String name = text.substring(digits);
    for (Unit unit : UNITS) {
      if (unit.name().equals(name)) {
        return number * unit.lengthMs();
      }
    }
    throw new IllegalArgumentException("unknown duration unit " + name);
  }
}
