package io.lycheejunction.proxy;

import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.platform.HttpObjectStore;
import io.lycheejunction.common.platform.HttpPlatformTable;
import io.lycheejunction.common.platform.HttpVmDirectory;
import io.lycheejunction.common.platform.PlatformMessageClient;
import io.lycheejunction.core.port.PeerTransport;
import io.lycheejunction.core.port.TargetPort;
import io.lycheejunction.proxy.access.AccessSettings;
import io.lycheejunction.proxy.forward.HttpPeerTransport;
import io.lycheejunction.proxy.forward.PeerRoutes;
import io.lycheejunction.proxy.operator.ControlPlane;
import io.lycheejunction.proxy.target.HttpTargetPort;
import java.util.Objects;
import java.util.Optional;

/**
 * The clients and routes with which the proxy talks to targets, the platform and other proxies.
 *
 * @param targets sends requests to targets
 * @param transport sends messages to other proxies
 * @param routes receives messages from other proxies
 * @param ports the platform and peer adapters of configuration and membership
 */
record Adapters(
    TargetPort targets, PeerTransport transport, PeerRoutes routes, ControlPlane.Ports ports) {
  private static final long PLATFORM_TIMEOUT_MS = 1_000;

  /** Rejects null components. */
  Adapters {
    Objects.requireNonNull(targets, "targets is null");
    Objects.requireNonNull(transport, "transport is null");
    Objects.requireNonNull(routes, "routes is null");
    Objects.requireNonNull(ports, "ports is null");
  }

  /**
   * Returns adapters whose connections start at the address that the proxy listens on.
   *
   * @param settings the proxy's settings
   * @return the adapters
   */
  static Adapters of(ProxySettings settings) {
    BlockingHttpClient http = BlockingHttpClient.plain(Optional.of(settings.address()));
    PeerRoutes routes = new PeerRoutes();
    AccessSettings access = settings.access();
    PeerTransport transport =
        new HttpPeerTransport(access.peerHttp(settings.address()), access.peerHeaders());
    PlatformMessageClient calls =
        new PlatformMessageClient(http, settings.platform(), PLATFORM_TIMEOUT_MS);
    ControlPlane.Ports ports =
        new ControlPlane.Ports(
            new HttpPlatformTable(calls),
            new HttpObjectStore(calls),
            new HttpVmDirectory(calls),
            transport,
            routes);
    return new Adapters(new HttpTargetPort(http), transport, routes, ports);
  }
}
