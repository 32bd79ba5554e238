package io.lycheejunction.burn;

import io.lycheejunction.common.burn.BurnStore;
import io.lycheejunction.common.clock.SystemRuntimeClock;
import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.platform.HttpObjectStore;
import io.lycheejunction.common.platform.PlatformMessageClient;
import io.lycheejunction.common.settings.Program;
import io.lycheejunction.common.settings.Setting;
import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.core.result.Fault;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** The main class of {@code lycheejunction-burn}. */
public final class BurnMain {
  private static final int EXIT_REPORT_FAILED = 1;
  private static final long MINUTE_MS = 60_000;
  private static final long TIMEOUT_MS = 5_000;
  private static final Program PROGRAM =
      new Program(
          "lycheejunction-burn",
          "[flags]",
          List.of(
              Setting.address("platform", "the address of the platform as ip:port"),
              Setting.text(
                  "html", "", "the file for the page with plots; none is written if empty"),
              Setting.text("service", "", "the only service to report; all if empty"),
              Setting.toggle("json", "prints JSON instead of text")));

  private BurnMain() {}

  /**
   * Runs the program and exits with its code.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.setProperty("java.awt.headless", "true");
    System.exit(PROGRAM.run(args, System.getenv(), System.out, System.err, BurnMain::run));
  }

  private static int run(Settings settings) {
    BlockingHttpClient http = BlockingHttpClient.plain(Optional.empty());
    PlatformMessageClient calls =
        new PlatformMessageClient(http, settings.text("platform"), TIMEOUT_MS);
    HistoryReader reader = new HistoryReader(new BurnStore(new HttpObjectStore(calls)));
    long nowMinute = new SystemRuntimeClock().wallMs() / MINUTE_MS;
    return reader
        .read(nowMinute)
        .fold(
            BurnMain::reportFault,
            read -> print(settings, Report.of(read, nowMinute, settings.text("service"))));
  }

  private static int reportFault(Fault fault) {
    System.err.println(
        "lycheejunction-burn: cannot read the counts, so the burn rates are unknown: "
            + fault.code().number()
            + " "
            + fault.detail());
    return EXIT_REPORT_FAILED;
  }

  private static int print(Settings settings, Report report) {
    System.out.print(
        settings.isOn("json") ? Json.write(report.summary()) + "\n" : TextPage.of(report));
    String file = settings.text("html");
    if (file.isEmpty()) {
      return 0;
    }
    try {
      Files.writeString(Path.of(file), HtmlPage.of(report));
      return 0;
    } catch (IOException e) {
      System.err.println("lycheejunction-burn: cannot write " + file + ": " + e.getMessage());
      return EXIT_REPORT_FAILED;
    }
  }
}
