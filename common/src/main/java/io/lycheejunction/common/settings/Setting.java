package io.lycheejunction.common.settings;

import java.util.Locale;
import java.util.Objects;
import java.util.Optional;

/**
 * One setting of a program, given by a flag or an environment variable.
 *
 * @param flag the flag without its dashes, for example {@code failure-domain}
 * @param kind the type of the value and its allowed range
 * @param defaultValue the value if neither flag nor variable is given; empty for a required setting
 * @param secret true if the value is taken from the variable only and is never printed
 * @param help one line for the help page
 */
public record Setting(
    String flag, Kind kind, Optional<String> defaultValue, boolean secret, String help) {

  /** The type of a setting's value. */
  public sealed interface Kind {
    /** Any text; it may be empty only if the default value is the empty text. */
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
    Objects.requireNonNull(defaultValue, "defaultValue is null");
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
   * @param defaultValue the default value; an empty text allows empty values
   * @param help one line for the help page
   * @return the setting
   */
  public static Setting text(String flag, String defaultValue, String help) {
    return new Setting(flag, new Kind.Text(), Optional.of(defaultValue), false, help);
  }

  /**
   * Returns a secret that is read from its environment variable only.
   *
   * @param flag the name that the name of the variable is derived from
   * @param help one line for the help page
   * @return the setting, whose value is empty if the variable is not set
   */
  public static Setting secret(String flag, String help) {
    return new Setting(flag, new Kind.Text(), Optional.of(""), true, help);
  }

  /**
   * Returns an optional setting with a whole number.
   *
   * @param flag the flag
   * @param min the smallest allowed value
   * @param max the largest allowed value
   * @param defaultValue the default value
   * @param help one line for the help page
   * @return the setting
   */
  public static Setting number(String flag, long min, long max, long defaultValue, String help) {
    return new Setting(
        flag, new Kind.Number(min, max), Optional.of(String.valueOf(defaultValue)), false, help);
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
   * Returns the name of the environment variable that sets the same value as the flag.
   *
   * @return the name, for example {@code LYCHEEJUNCTION_FAILURE_DOMAIN}
   */
  public String variable() {
    return "LYCHEEJUNCTION_" + flag.replace('-', '_').toUpperCase(Locale.ROOT);
  }

  /**
   * Returns the allowed values if a value is not one of them.
   *
   * @param value the value to check
   * @return the allowed values as text, or empty if the value is valid
   */
  Optional<String> violation(String value) {
    return switch (kind) {
      case Kind.Text() ->
          value.isEmpty() && !defaultValue.equals(Optional.of(""))
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
