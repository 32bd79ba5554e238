package io.lycheejunction.ctl;

import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.settings.Program;
import io.lycheejunction.common.settings.Setting;
import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.core.result.Fault;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

/** The main class of {@code lycheejunctionctl}. */
public final class CtlMain {
  private static final String PROXY = "proxy";
  private static final String JSON = "json";
  private static final String DRY_RUN = "dry-run";
  private static final String WAIT = "wait";
  private static final String IF_VERSION = "if-version";
  private static final String CHANGE_ID = "change-id";
  private static final String OPERATOR_KEY = "operator-key";
  private static final String TLS_CA = "tls-ca";
  private static final String TIMEOUT_MS = "timeout-ms";
  private static final long NO_VERSION = -1;
  private static final List<Setting> SETTINGS =
      List.of(
          Setting.text(PROXY, "ip:port of the proxies to ask, separated by commas"),
          Setting.toggle(JSON, "prints the answer as JSON"),
          Setting.toggle(DRY_RUN, "shows the effect of a command without running it"),
          Setting.toggle(WAIT, "returns when a change is in force everywhere reachable"),
          Setting.number(
              IF_VERSION,
              NO_VERSION,
              Long.MAX_VALUE,
              NO_VERSION,
              "version that the configuration must have; -1 for any"),
          Setting.text(CHANGE_ID, "", "identifier of a change that is sent again"),
          Setting.secret(OPERATOR_KEY, "key of the operator"),
          Setting.text(TLS_CA, "", "PEM file of the certificates that the proxies are signed by"),
          Setting.number(
              TIMEOUT_MS, 100, 120_000, 20_000, "time to wait for an answer, in milliseconds"));
  private static final Program PROGRAM =
      new Program("lycheejunctionctl", "[flags] [STATEMENT]", SETTINGS);

  private CtlMain() {}

  /**
   * Runs the program and exits with its code.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(PROGRAM.run(args, System.getenv(), System.out, System.err, CtlMain::run));
  }

  private static int run(Settings settings) {
    List<String> proxies = List.of(settings.text(PROXY).split(","));
    Optional<String> invalidAddress =
        proxies.stream()
            .filter(address -> !address.matches("[0-9.]+:\\d{1,5}|\\[[0-9a-fA-F:]+]:\\d{1,5}"))
            .findFirst();
    if (invalidAddress.isPresent()) {
      System.err.println(
          "lycheejunctionctl: --proxy has value '" + invalidAddress.get() + "'; allowed: ip:port");
      return Program.EXIT_BAD_SETTINGS;
    }
    return ConnectionSettings.of(settings.text(OPERATOR_KEY), settings.text(TLS_CA), proxies)
        .fold(
            CtlMain::reportInvalidSettings,
            connection -> connectAndRun(settings, proxies, connection));
  }

  private static int reportInvalidSettings(Fault fault) {
    System.err.println("lycheejunctionctl: " + fault.detail());
    return Program.EXIT_BAD_SETTINGS;
  }

  private static int connectAndRun(
      Settings settings, List<String> proxies, ConnectionSettings connection) {
    try (BlockingHttpClient http = connection.newHttpClient()) {
      long timeoutMs = settings.number(TIMEOUT_MS);
      OperatorClient client =
          new OperatorClient(
              new HttpProxyTransport(http, connection.headers(), timeoutMs), proxies);
      return runStatements(
          settings, new StatementRunner(client, options(settings), System.out, System.err));
    }
  }

  private static RunOptions options(Settings settings) {
    long version = settings.number(IF_VERSION);
    return new RunOptions(
        settings.isOn(JSON),
        settings.isOn(DRY_RUN),
        settings.isOn(WAIT),
        version == NO_VERSION ? Optional.empty() : Optional.of(version),
        Optional.of(settings.text(CHANGE_ID)).filter(id -> !id.isEmpty()),
        () -> UUID.randomUUID().toString());
  }

  private static int runStatements(Settings settings, StatementRunner runner) {
    String statement = String.join(" ", settings.arguments());
    if (!statement.isBlank()) {
      return runner.run(statement);
    }
    try {
      return Shell.onSystemTerminal(runner).run();
    } catch (IOException e) {
      PrintStream err = System.err;
      err.println("lycheejunctionctl: cannot open a terminal: " + e.getMessage());
      return Program.EXIT_BAD_SETTINGS;
    }
  }
}
