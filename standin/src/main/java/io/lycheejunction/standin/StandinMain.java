package io.lycheejunction.standin;

import io.lycheejunction.common.settings.Program;
import io.lycheejunction.common.settings.Settings;
import java.util.List;

/** Starts {@code lycheejunction-standin}. */
public final class StandinMain {
  private static final Program PROGRAM =
      new Program("lycheejunction-standin", "[flags]", List.of());

  private StandinMain() {}

  /**
   * Runs the program and exits with its code.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(PROGRAM.run(args, System.getenv(), System.out, System.err, StandinMain::run));
  }

  private static int run(Settings settings) {
    return 0;
  }
}
