package io.lycheejunction.common.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The validated settings of a program and its positional arguments. */
public final class Settings {
  private final Map<String, String> values;
  private final List<String> arguments;

  private Settings(Map<String, String> values, List<String> arguments) {
    this.values = Map.copyOf(values);
    this.arguments = List.copyOf(arguments);
  }

  /** The result of parsing the command line and the environment. */
  public sealed interface Parsed {
    /**
     * All settings are valid.
     *
     * @param settings the settings
     */
    record Valid(Settings settings) implements Parsed {}

    /** The help page is requested. */
    record Help() implements Parsed {}

    /** The version is requested. */
    record Version() implements Parsed {}

    /**
     * Some settings are missing or outside their ranges.
     *
     * @param faults one line per invalid setting, with its flag, variable, value and allowed values
     */
    record Invalid(List<String> faults) implements Parsed {}
  }

  /**
   * Returns the settings from flags, environment variables and defaults, in this order of
   * precedence.
   *
   * @param known the settings of the program
   * @param args the command line
   * @param environment the environment variables
   * @return the settings, or all invalid ones
   */
  public static Parsed parse(List<Setting> known, String[] args, Map<String, String> environment) {
    CommandLine line;
    try {
      line = new DefaultParser().parse(options(known), args);
    } catch (ParseException e) {
      return new Parsed.Invalid(List.of(e.getMessage()));
    }
    if (line.hasOption("help")) {
      return new Parsed.Help();
    }
    if (line.hasOption("version")) {
      return new Parsed.Version();
    }
    return validate(known, line, environment);
  }

  private static Parsed validate(
      List<Setting> known, CommandLine line, Map<String, String> environment) {
    Map<String, String> values = new HashMap<>();
    List<String> faults = new ArrayList<>();
    for (Setting setting : known) {
      Optional<String> value = value(setting, line, environment);
      if (value.isEmpty()) {
        faults.add(describe(setting) + " is missing; allowed: " + setting.help());
        continue;
      }
      Optional<String> allowed = setting.violation(value.get());
      if (allowed.isPresent()) {
        String printedValue = setting.secret() ? "(secret)" : value.get();
        faults.add(
            describe(setting) + " has value '" + printedValue + "'; allowed: " + allowed.get());
        continue;
      }
      values.put(setting.flag(), value.get());
    }
    return faults.isEmpty()
        ? new Parsed.Valid(new Settings(values, line.getArgList()))
        : new Parsed.Invalid(faults);
  }

  private static String describe(Setting setting) {
    return setting.secret()
        ? setting.variable()
        : "--" + setting.flag() + " (" + setting.variable() + ")";
  }

  private static Optional<String> value(
      Setting setting, CommandLine line, Map<String, String> environment) {
    if (!setting.secret() && line.hasOption(setting.flag())) {
      return Optional.of(
          setting.kind() instanceof Setting.Kind.Switch
              ? "true"
              : line.getOptionValue(setting.flag()));
    }
    return Optional.ofNullable(environment.get(setting.variable())).or(setting::defaultValue);
  }

  /**
   * Returns the Commons CLI options of the settings.
   *
   * @param known the settings of the program
   * @return the options, with help and version
   */
  static Options options(List<Setting> known) {
    Options options = new Options();
    for (Setting setting : known) {
      if (setting.secret()) {
        continue;
      }
      boolean takesValue = !(setting.kind() instanceof Setting.Kind.Switch);
      options.addOption(
          Option.builder()
              .longOpt(setting.flag())
              .hasArg(takesValue)
              .argName(takesValue ? "VALUE" : null)
              .desc(
                  setting.help()
                      + " ["
                      + setting.variable()
                      + setting
                          .defaultValue()
                          .filter(value -> !value.isEmpty())
                          .map(value -> ", default " + value)
                          .orElse("")
                      + "]")
              .get());
    }
    options.addOption(Option.builder("h").longOpt("help").desc("prints this page").get());
    options.addOption(Option.builder().longOpt("version").desc("prints the version").get());
    return options;
  }

  /**
   * Returns the value of a setting as text.
   *
   * @param flag the setting's flag
   * @return the value; may be empty if the setting's default value is empty
   * @throws IllegalArgumentException if the program has no such setting
   */
  public String text(String flag) {
    String value = values.get(flag);
    if (value == null) {
      throw new IllegalArgumentException("the program has no setting with the flag " + flag);
    }
    return value;
  }

  /**
   * Returns the value of a number setting.
   *
   * @param flag the setting's flag
   * @return the value
   */
  public long number(String flag) {
    return Long.parseLong(text(flag));
  }

  /**
   * Returns whether a switch is on.
   *
   * @param flag the setting's flag
   * @return true if it is on
   */
  public boolean isOn(String flag) {
    return Boolean.parseBoolean(text(flag));
  }

  /**
   * Returns the positional arguments.
   *
   * @return the arguments, in order
   */
  public List<String> arguments() {
    return arguments;
  }
}
