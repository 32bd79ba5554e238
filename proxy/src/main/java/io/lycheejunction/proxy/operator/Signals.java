package io.lycheejunction.proxy.operator;

import java.util.List;
import java.util.Objects;
import sun.misc.Signal;

/** Begins the shutdown when the process is told to end, so that it can still exit with code 0. */
public final class Signals {
  private static final List<String> NAMES = List.of("TERM", "INT");

  private Signals() {}

  /**
   * Handles the signals for the rest of the process's life; a repeated one logs what is awaited.
   *
   * @param shutdown the shutdown to begin
   */
  public static void handle(Shutdown shutdown) {
    Objects.requireNonNull(shutdown, "shutdown is null");
    for (String name : NAMES) {
      Signal.handle(new Signal(name), signal -> shutdown.begin("SIG" + signal.getName()));
    }
  }
}
