package io.lycheejunction.common.settings;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.ToIntFunction;
import org.apache.commons.cli.HelpFormatter;

/**
 * The command line of a program.
 *
 * @param name the name of the command
 * @param usage the flags and arguments on the usage line, after the name
 * @param settings the settings that the program reads
 */
public record Program(String name, String usage, List<Setting> settings) {
  /** The exit code for settings that are missing or outside their ranges. */
  public static final int EXIT_BAD_SETTINGS = 2;

  private static final int HELP_WIDTH_CHARS = 100;

  /** Rejects null components. */
  public Program {
    Objects.requireNonNull(name, "name is null");
    Objects.requireNonNull(usage, "usage is null");
    settings = List.copyOf(settings);
  }

  /**
   * Returns the exit code after parsing the settings and, if they are valid, running the body.
   *
   * @param args the command line
   * @param environment the environment variables
   * @param out the output for the help page and the version
   * @param err the output for errors in the settings
   * @param body the main function, which returns the exit code
   * @return the exit code
   */
  public int run(
      String[] args,
      Map<String, String> environment,
      PrintStream out,
      PrintStream err,
      ToIntFunction<Settings> body) {
    return switch (Settings.parse(settings, args, environment)) {
      case Settings.Parsed.Valid(Settings ready) -> body.applyAsInt(ready);
      case Settings.Parsed.Help() -> printHelp(out);
      case Settings.Parsed.Version() -> printVersion(out);
      case Settings.Parsed.Invalid(List<String> faults) -> printFaults(err, faults);
    };
  }

  @SuppressWarnings("deprecation") // the replacement is still in an experimental package
  private int printHelp(PrintStream out) {
    PrintWriter writer = new PrintWriter(out, true, StandardCharsets.UTF_8);
    new HelpFormatter()
        .printHelp(
            writer,
            HELP_WIDTH_CHARS,
            name + " " + usage,
            "",
            Settings.options(settings),
            1,
            2,
            secretsHelp());
    writer.flush();
    return 0;
  }

  private String secretsHelp() {
    StringBuilder page = new StringBuilder();
    for (Setting setting : settings) {
      if (setting.secret()) {
        page.append('\n').append(setting.variable()).append(": ").append(setting.help());
      }
    }
    return page.isEmpty() ? "" : "\nSecrets, taken from the environment only:" + page;
  }

  private int printVersion(PrintStream out) {
    String version = Program.class.getPackage().getImplementationVersion();
    out.println(name + " " + (version == null ? "development" : version));
    return 0;
  }

  private int printFaults(PrintStream err, List<String> faults) {
    faults.forEach(fault -> err.println(name + ": " + fault));
    return EXIT_BAD_SETTINGS;
  }
}
