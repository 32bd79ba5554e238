package io.lycheejunction.burn;

import io.lycheejunction.common.settings.Program;
import io.lycheejunction.common.settings.Settings;
import java.util.List;

/** Starts {@code lycheejunction-burn}. */
public final class BurnMain {
  private static final Program PROGRAM = new Program("lycheejunction-burn", "[flags]", List.of());

  private BurnMain() {}

  /**
   * Runs the program and exits with its code.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(PROGRAM.run(args, System.getenv(), System.out, System.err, BurnMain::run));
  }

  private static int run(Settings settings) {
    return 0;
  }
}
