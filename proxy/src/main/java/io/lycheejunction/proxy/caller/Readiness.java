package io.lycheejunction.proxy.caller;

import java.util.Optional;

/** Tells whether the proxy takes new callers. */
@FunctionalInterface
public interface Readiness {

  /**
   * Returns why the proxy takes no new callers.
   *
   * @return the reason, or empty if it takes them
   */
  Optional<String> reasonNotReady();
}
