package io.lycheejunction.ctl;

import io.lycheejunction.common.settings.Program;
import io.lycheejunction.common.settings.Settings;
import java.util.List;

/** Starts {@code lycheejunctionctl}. */
public final class CtlMain {
  private static final Program PROGRAM =
      new Program("lycheejunctionctl", "[flags] COMMAND", List.of());

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
    return 0;
  }
}
