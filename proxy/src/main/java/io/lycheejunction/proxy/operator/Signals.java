package io.lycheejunction.proxy.operator;

import java.util.List;
import java.util.Objects;
import sun.misc.Signal;

/**
 * Begins the graceful shutdown at SIGTERM or SIGINT, so that the process can still exit with code
 * 0.
 */
public final class Signals {
  private static final List<String> NAMES = List.of("TERM", "INT");

  private Signals() {}

  /**
   * Installs the handlers for the life of the process; a repeated signal logs what the shutdown is
   * waiting for.
   *
   * @param shutdown the shutdown to begin
   */
  public static void handle(GracefulShutdown shutdown) {
    Objects.requireNonNull(shutdown, "shutdown is null");
    for (String name : NAMES) {
      Signal.handle(new Signal(name), signal -> shutdown.begin("SIG" + signal.getName()));
    }
  }
}
