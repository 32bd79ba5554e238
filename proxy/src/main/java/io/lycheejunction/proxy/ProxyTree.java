package io.lycheejunction.proxy;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.proxy.caller.HttpServer;
import io.lycheejunction.proxy.caller.Readiness;
import io.lycheejunction.proxy.forward.PeerRoutes;
import io.lycheejunction.proxy.supervisor.Supervisor;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Builds the proxy's supervisor tree. */
final class ProxyTree {
  private ProxyTree() {}

  /**
   * Returns the tree of a proxy with the given settings, not yet started.
   *
   * @param settings the settings
   * @param clock the runtime clock
   * @return the root supervisor
   */
  static Supervisor of(ProxySettings settings, RuntimeClock clock) {
    PeerRoutes routes = new PeerRoutes();
    Readiness readiness = Optional::empty;
    HttpServer http =
        new HttpServer(
            Map.of(
                "micronaut.server.host", settings.ip(), "micronaut.server.port", settings.port()),
            List.of(routes, readiness));
    return new Supervisor("proxy", List.of(http), clock);
  }
}
