package io.lycheejunction.core.configuration;

import java.util.function.Consumer;

/** Gives the configuration in force on this proxy. */
public interface ConfigurationSource {

  /**
   * Returns the configuration in force.
   *
   * @return the configuration, whose version never goes back
   */
  Configuration current();

  /**
   * Calls the listener with each later configuration, in the order of versions.
   *
   * @param listener called on the thread that applies the change
   */
  void onChange(Consumer<Configuration> listener);
}
