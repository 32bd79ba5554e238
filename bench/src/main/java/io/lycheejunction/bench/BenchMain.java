package io.lycheejunction.bench;

import io.lycheejunction.common.settings.Program;
import io.lycheejunction.common.settings.Settings;
import java.util.List;

/** Starts {@code lycheejunction-bench}. */
public final class BenchMain {
  private static final Program PROGRAM =
      new Program("lycheejunction-bench", "[flags] BENCH", List.of());

  private BenchMain() {}

  /**
   * Runs the program and exits with its code.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(PROGRAM.run(args, System.getenv(), System.out, System.err, BenchMain::run));
  }

  private static int run(Settings settings) {
    return 0;
  }
}
