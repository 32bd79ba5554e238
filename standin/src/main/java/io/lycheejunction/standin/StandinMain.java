package io.lycheejunction.standin;

import io.lycheejunction.common.clock.SystemRuntimeClock;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.common.settings.Program;
import io.lycheejunction.common.settings.Settings;
import java.io.UncheckedIOException;
import java.net.UnknownHostException;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** Entry point of the program {@code lycheejunction-standin}. */
public final class StandinMain {
  private static final Program PROGRAM =
      new Program("lycheejunction-standin", "[flags]\n" + Help.text(), StandinSettings.ALL);
  private static final EventLog LOG = EventLog.of(StandinMain.class);

  /**
   * The JSON line that the program prints when it is ready to serve.
   *
   * @param platform the address of the platform as {@code ip:port}
   * @param groups the groups with the addresses of their instances
   */
  private record Started(String platform, List<Groups.Listing> groups) {}

  private StandinMain() {}

  /**
   * Runs the program and exits with its exit code.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) {
    System.exit(PROGRAM.run(args, System.getenv(), System.out, System.err, StandinMain::run));
  }

  private static int run(Settings settings) {
    try (Standin standin = new Standin(StandinSettings.of(settings), new SystemRuntimeClock())) {
      System.out.println(Json.write(new Started(standin.address(), standin.list())));
      LOG.info("standin_started", "platform", standin.address());
      new CountDownLatch(1).await();
      return 0;
    } catch (UnknownHostException | UncheckedIOException e) {
      System.err.println("lycheejunction-standin: " + e.getMessage());
      return Program.EXIT_BAD_SETTINGS;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }
}
