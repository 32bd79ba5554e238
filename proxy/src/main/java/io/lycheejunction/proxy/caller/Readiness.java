package io.lycheejunction.proxy.caller;

import java.util.Optional;

/** Reports whether the proxy accepts new callers. */
@FunctionalInterface
public interface Readiness {

  /**
   * Returns why the proxy does not accept new callers.
   *
   * @return the reason, or empty if it accepts them
   */
  Optional<String> reasonNotReady();
}
