package io.lycheejunction.ctl;

import io.lycheejunction.common.http.HttpCaller;
import io.lycheejunction.common.settings.Program;
import io.lycheejunction.common.settings.Setting;
import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.core.result.Fault;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

/** Starts {@code lycheejunctionctl}. */
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
    Optional<String> wrong =
        proxies.stream()
            .filter(p -> !p.matches("[0-9.]+:\\d{1,5}|\\[[0-9a-fA-F:]+]:\\d{1,5}"))
            .findFirst();
    if (wrong.isPresent()) {
      System.err.println("lycheejunctionctl: --proxy has '" + wrong.get() + "'; allowed: ip:port");
      return Program.EXIT_BAD_SETTINGS;
    }
    return Connection.of(settings.text(OPERATOR_KEY), settings.text(TLS_CA), proxies)
        .fold(CtlMain::badAccess, connection -> ask(settings, proxies, connection));
  }

  private static int badAccess(Fault fault) {
    System.err.println("lycheejunctionctl: " + fault.detail());
    return Program.EXIT_BAD_SETTINGS;
  }

  private static int ask(Settings settings, List<String> proxies, Connection connection) {
    try (HttpCaller http = connection.http()) {
      long timeoutMs = settings.number(TIMEOUT_MS);
      Client client = new Client(new HttpProxies(http, connection.headers(), timeoutMs), proxies);
      return interact(settings, new Runner(client, options(settings), System.out, System.err));
    }
  }

  private static Options options(Settings settings) {
    long version = settings.number(IF_VERSION);
    return new Options(
        settings.isOn(JSON),
        settings.isOn(DRY_RUN),
        settings.isOn(WAIT),
        version == NO_VERSION ? Optional.empty() : Optional.of(version),
        Optional.of(settings.text(CHANGE_ID)).filter(id -> !id.isEmpty()),
        () -> UUID.randomUUID().toString());
  }

  private static int interact(Settings settings, Runner runner) {
    String statement = String.join(" ", settings.arguments());
    if (!statement.isBlank()) {
      return runner.run(statement);
    }
    try {
      return Shell.open(runner).loop();
    } catch (IOException e) {
      PrintStream err = System.err;
      err.println("lycheejunctionctl: no terminal: " + e.getMessage());
      return Program.EXIT_BAD_SETTINGS;
    }
  }
}
