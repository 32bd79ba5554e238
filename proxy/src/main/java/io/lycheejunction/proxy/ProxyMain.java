package io.lycheejunction.proxy;

import io.lycheejunction.common.clock.SystemRuntimeClock;
import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.common.settings.Program;
import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.proxy.supervisor.Supervisor;

/** Starts {@code lycheejunction-proxy}. */
public final class ProxyMain {
  private static final EventLog LOG = EventLog.of(ProxyMain.class);
  private static final int EXIT_FAILED = 1;
  private static final Program PROGRAM =
      new Program("lycheejunction-proxy", "[flags]", ProxySettings.ALL);

  private ProxyMain() {}

  /**
   * Runs the program and exits with its code.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(PROGRAM.run(args, System.getenv(), System.out, System.err, ProxyMain::run));
  }

  private static int run(Settings settings) {
    Supervisor tree = ProxyTree.of(ProxySettings.of(settings), new SystemRuntimeClock());
    try {
      tree.start();
      LOG.info("proxy_started", "vm", settings.text(ProxySettings.VM));
      tree.watch();
      return EXIT_FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    } finally {
      tree.stop();
    }
  }
}
