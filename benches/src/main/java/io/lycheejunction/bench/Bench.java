package io.lycheejunction.bench;

import io.lycheejunction.common.settings.Settings;

/** A benchmark that is selected by name on the command line. */
public interface Bench {

  /**
   * Returns the command-line argument that selects this bench.
   *
   * @return the name, unique among the benches
   */
  String name();

  /**
   * Runs the bench, prints its results as lines of key=value pairs and returns the exit code.
   *
   * @param settings the validated settings
   * @return 0 if the bench met all its limits, another value if not
   * @throws InterruptedException if the thread is interrupted
   */
  int run(Settings settings) throws InterruptedException;
}
