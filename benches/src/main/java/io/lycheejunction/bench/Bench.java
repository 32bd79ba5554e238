package io.lycheejunction.bench;

import io.lycheejunction.common.settings.Settings;

/** One bench, chosen by its name on the command line. */
public interface Bench {

  /**
   * Returns the name that chooses the bench.
   *
   * @return the name
   */
  String name();

  /**
   * Returns the exit code after the bench has run and printed its lines of key=value pairs.
   *
   * @param settings the checked settings
   * @return 0 if everything that must hold held
   * @throws InterruptedException if the thread is interrupted
   */
  int run(Settings settings) throws InterruptedException;
}
