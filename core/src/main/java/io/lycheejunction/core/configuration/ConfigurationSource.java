package io.lycheejunction.core.configuration;

import java.util.function.Consumer;

/** Provides the configuration in force on this proxy. */
public interface ConfigurationSource {

  /**
   * Returns the configuration in force.
   *
   * @return the configuration; its version never decreases
   */
  Configuration current();

  /**
   * Registers a listener that is called with each later configuration, in version order.
   *
   * @param listener called on the thread that applies the change
   */
  void onChange(Consumer<Configuration> listener);
}
