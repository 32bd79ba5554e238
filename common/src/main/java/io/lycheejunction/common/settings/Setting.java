package io.lycheejunction.common.settings;

import java.util.Locale;
import java.util.Objects;
import java.util.Optional;

/**
 * One setting of a program, given by a flag or an environment variable.
 *
 * @param flag the flag without its dashes, for example {@code failure-domain}
 * @param kind the kind of value with its range
 * @param fallback the value when neither flag nor variable is given; empty makes it required
 * @param secret true if the value is taken from the variable only and is never printed
 * @param help one line for the help page
 */
public record Setting(
    String flag, Kind kind, Optional<String> fallback, boolean secret, String help) {

  /** The kind of a setting's value. */
  public sealed interface Kind {
    /** Any text that is not empty, unless the fallback is empty. */
    record Text() implements Kind {}

    /**
     * A whole number.
     *
     * @param min the smallest allowed value
     * @param max the largest allowed value
     */
    record Number(long min, long max) implements Kind {}

    /** An address as {@code ip:port}. */
    record Address() implements Kind {}

    /** A switch that is on when its flag is present or its variable is {@code true}. */
    record Switch() implements Kind {}
  }

  /** Rejects null components. */
  public Setting {
    Objects.requireNonNull(flag, "flag is null");
    Objects.requireNonNull(kind, "kind is null");
    Objects.requireNonNull(fallback, "fallback is null");
    Objects.requireNonNull(help, "help is null");
  }

  /**
   * Returns a required text setting.
   *
   * @param flag the flag
   * @param help one line for the help page
   * @return the setting
   */
  public static Setting text(String flag, String help) {
    return new Setting(flag, new Kind.Text(), Optional.empty(), false, help);
  }

  /**
   * Returns an optional text setting.
   *
   * @param flag the flag
   * @param fallback the value when none is given; it may be empty
   * @param help one line for the help page
   * @return the setting
   */
  public static Setting text(String flag, String fallback, String help) {
    return new Setting(flag, new Kind.Text(), Optional.of(fallback), false, help);
  }

  /**
   * Returns a secret that is read from its environment variable only.
   *
   * @param flag the name from which the variable's name is made
   * @param help one line for the help page
   * @return the setting, empty when the variable is not set
   */
  public static Setting secret(String flag, String help) {
    return new Setting(flag, new Kind.Text(), Optional.of(""), true, help);
  }

  /**
   * Returns a number setting.
   *
   * @param flag the flag
   * @param min the smallest allowed value
   * @param max the largest allowed value
   * @param fallback the value when none is given
   * @param help one line for the help page
   * @return the setting
   */
  public static Setting number(String flag, long min, long max, long fallback, String help) {
    return new Setting(
        flag, new Kind.Number(min, max), Optional.of(String.valueOf(fallback)), false, help);
  }

  /**
   * Returns a required address setting.
   *
   * @param flag the flag
   * @param help one line for the help page
   * @return the setting
   */
  public static Setting address(String flag, String help) {
    return new Setting(flag, new Kind.Address(), Optional.empty(), false, help);
  }

  /**
   * Returns a switch, off by default.
   *
   * @param flag the flag
   * @param help one line for the help page
   * @return the setting
   */
  public static Setting toggle(String flag, String help) {
    return new Setting(flag, new Kind.Switch(), Optional.of("false"), false, help);
  }

  /**
   * Returns the name of the environment variable that goes with the flag.
   *
   * @return the name, for example {@code LYCHEEJUNCTION_FAILURE_DOMAIN}
   */
  public String variable() {
    return "LYCHEEJUNCTION_" + flag.replace('-', '_').toUpperCase(Locale.ROOT);
  }

  /**
   * Returns what is wrong with a value.
   *
   * @param value the value
   * @return the allowed range, or empty if the value is within it
   */
  Optional<String> violation(String value) {
    return switch (kind) {
      case Kind.Text() ->
          value.isEmpty() && !fallback.equals(Optional.of(""))
              ? Optional.of("text that is not empty")
              : Optional.empty();
      case Kind.Number(long min, long max) -> numberViolation(value, min, max);
      case Kind.Address() ->
          value.matches("(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}|\\[[0-9a-fA-F:]+]:\\d{1,5}")
              ? Optional.empty()
              : Optional.of("ip:port");
      case Kind.Switch() ->
          value.equals("true") || value.equals("false")
              ? Optional.empty()
              : Optional.of("true or false");
    };
  }

  private static Optional<String> numberViolation(String value, long min, long max) {
    String range = min + " to " + max;
    try {
      long number = Long.parseLong(value);
      return number < min || number > max ? Optional.of(range) : Optional.empty();
    } catch (NumberFormatException e) {
      return Optional.of(range);
    }
  }
}
