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

/** The checked settings of a program, with the arguments that are not flags. */
public final class Settings {
  private final Map<String, String> values;
  private final List<String> arguments;

  private Settings(Map<String, String> values, List<String> arguments) {
    this.values = Map.copyOf(values);
    this.arguments = List.copyOf(arguments);
  }

  /** What became of reading the settings. */
  public sealed interface Parsed {
    /**
     * All settings are within their ranges.
     *
     * @param settings the settings
     */
    record Ready(Settings settings) implements Parsed {}

    /** The help page is asked for. */
    record Help() implements Parsed {}

    /** The version is asked for. */
    record Version() implements Parsed {}

    /**
     * Some settings are missing or outside their ranges.
     *
     * @param faults one line for each, with its flag, variable, value and range
     */
    record Faulty(List<String> faults) implements Parsed {}
  }

  /**
   * Returns what the flags and variables stand for; a flag goes before its variable, the variable
   * before the default.
   *
   * @param known the settings of the program
   * @param args the command line
   * @param environment the environment variables
   * @return the settings or all their faults
   */
  public static Parsed parse(List<Setting> known, String[] args, Map<String, String> environment) {
    CommandLine line;
    try {
      line = new DefaultParser().parse(options(known), args);
    } catch (ParseException e) {
      return new Parsed.Faulty(List.of(e.getMessage()));
    }
    if (line.hasOption("help")) {
      return new Parsed.Help();
    }
    if (line.hasOption("version")) {
      return new Parsed.Version();
    }
    return check(known, line, environment);
  }

  private static Parsed check(
      List<Setting> known, CommandLine line, Map<String, String> environment) {
    Map<String, String> values = new HashMap<>();
    List<String> faults = new ArrayList<>();
    for (Setting setting : known) {
      Optional<String> value = value(setting, line, environment);
      if (value.isEmpty()) {
        faults.add(describe(setting) + " is missing; allowed: " + setting.help());
        continue;
      }
      Optional<String> range = setting.violation(value.get());
      if (range.isPresent()) {
        String shown = setting.secret() ? "(secret)" : value.get();
        faults.add(describe(setting) + " has value '" + shown + "'; allowed: " + range.get());
        continue;
      }
      values.put(setting.flag(), value.get());
    }
    return faults.isEmpty()
        ? new Parsed.Ready(new Settings(values, line.getArgList()))
        : new Parsed.Faulty(faults);
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
    return Optional.ofNullable(environment.get(setting.variable())).or(setting::fallback);
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
                          .fallback()
                          .filter(f -> !f.isEmpty())
                          .map(f -> ", default " + f)
                          .orElse("")
                      + "]")
              .get());
    }
    options.addOption(Option.builder("h").longOpt("help").desc("prints this page").get());
    options.addOption(Option.builder().longOpt("version").desc("prints the version").get());
    return options;
  }

  /**
   * Returns a text value.
   *
   * @param flag the setting's flag
   * @return the value, empty if the setting allows that
   */
  public String text(String flag) {
    String value = values.get(flag);
    if (value == null) {
      throw new IllegalArgumentException("unknown setting " + flag);
    }
    return value;
  }

  /**
   * Returns a number value.
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
   * Returns the arguments that are not flags.
   *
   * @return the arguments, in order
   */
  public List<String> arguments() {
    return arguments;
  }
}
