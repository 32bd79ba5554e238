package io.lycheejunction.proxy;

import io.lycheejunction.common.clock.SystemRuntimeClock;
import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.common.settings.Program;
import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.session.TokenCodec;
import io.lycheejunction.proxy.caller.CallerSettings;
import io.lycheejunction.proxy.operator.Signals;
import java.nio.charset.StandardCharsets;

/** Starts {@code lycheejunction-proxy}. */
public final class ProxyMain {
  private static final EventLog LOG = EventLog.of(ProxyMain.class);
  private static final int EXIT_FAILED = 1;
  private static final Program PROGRAM =
      new Program("lycheejunction-proxy", "[flags]", ProxySettings.ALL);

  private ProxyMain() {}

  /**
   * Runs the program and ends the process with its exit code.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(PROGRAM.run(args, System.getenv(), System.out, System.err, ProxyMain::run));
  }

  private static int run(Settings settings) {
    byte[] key = settings.text(CallerSettings.SESSION_KEY).getBytes(StandardCharsets.UTF_8);
    return TokenCodec.of(key)
        .fold(
            ProxyMain::reportBadSessionKey,
            tokens ->
                ProxySettings.access(settings)
                    .fold(ProxyMain::reportBadAccess, access -> serve(settings, tokens)));
  }

  private static int reportBadSessionKey(Fault fault) {
    System.err.println("lycheejunction-proxy: LYCHEEJUNCTION_SESSION_KEY: " + fault.detail());
    return Program.EXIT_BAD_SETTINGS;
  }

  private static int reportBadAccess(Fault fault) {
    fault.detail().lines().forEach(line -> System.err.println("lycheejunction-proxy: " + line));
    return Program.EXIT_BAD_SETTINGS;
  }

  private static int serve(Settings settings, TokenCodec tokens) {
    ProxySettings proxySettings = ProxySettings.of(settings);
    ProxyTree tree = new ProxyTree(proxySettings, tokens, new SystemRuntimeClock());
    Signals.handle(tree.shutdown());
    try {
      tree.root().start();
      LOG.info("proxy_started", "vm", proxySettings.vm(), "listen", proxySettings.listen());
      Thread.ofVirtual().name("supervisor").start(() -> watch(tree));
      tree.shutdown().awaitDrained();
      return tree.root().isHealthy() ? 0 : EXIT_FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_FAILED;
    } finally {
      tree.root().stop();
      LOG.info("proxy_stopped", "vm", proxySettings.vm());
    }
  }

  private static void watch(ProxyTree tree) {
    try {
      tree.root().watch();
      tree.shutdown().begin("restart budget spent");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
