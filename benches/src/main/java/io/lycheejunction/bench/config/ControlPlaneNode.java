package io.lycheejunction.bench.config;

import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.operator.OperatorReply;
import io.lycheejunction.common.operator.OperatorRequest;
import io.lycheejunction.common.platform.HttpObjectStore;
import io.lycheejunction.common.platform.HttpPlatformTable;
import io.lycheejunction.common.platform.HttpVmDirectory;
import io.lycheejunction.common.platform.PlatformMessageClient;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.proxy.forward.HttpPeerTransport;
import io.lycheejunction.proxy.forward.PeerRoutes;
import io.lycheejunction.proxy.operator.ControlPlane;
import io.lycheejunction.proxy.operator.OperatorEndpoint;
import io.lycheejunction.proxy.operator.ShowTables;
import io.lycheejunction.proxy.supervisor.Supervisor;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * A proxy that runs configuration, membership and operator commands but executes no statements;
 * other proxies reach it over HTTP.
 */
final class ControlPlaneNode implements ConfigNode {
  private static final long PLATFORM_TIMEOUT_MS = 1_000;

  private final Vm vm;
  private final BlockingHttpClient http;
  private final PeerEndpoint endpoint;
  private final ControlPlane control;
  private final OperatorEndpoint operator;
  private final Supervisor supervisor;

  ControlPlaneNode(
      String name,
      String domain,
      String ip,
      String platformAddress,
      Traffic traffic,
      RuntimeClock clock,
      Random random) {
    PeerRoutes routes = new PeerRoutes();
    endpoint = new PeerEndpoint(ip, routes, traffic);
    vm = new Vm(name, Vm.Kind.ENTRY, domain, endpoint.address(), false);
    http = BlockingHttpClient.plain(Optional.of(inetAddress(ip)));
    PlatformMessageClient calls =
        new PlatformMessageClient(http, platformAddress, PLATFORM_TIMEOUT_MS);
    CountingPlatform countingPlatform =
        new CountingPlatform(new HttpPlatformTable(calls), new HttpVmDirectory(calls), traffic);
    ControlPlane.Ports ports =
        new ControlPlane.Ports(
            countingPlatform,
            new HttpObjectStore(calls),
            countingPlatform,
            new HttpPeerTransport(http, List.of()),
            routes);
    control = new ControlPlane(vm, List.of(), ports, clock, random);
    operator =
        control.operator(
            new ShowTables(),
            new UnmonitoredGroups(),
            (group, target) -> Result.success(target),
            control.shutdown(List.of()),
            ControlPlane.idGenerator(new Random(random.nextLong())));
    supervisor = new Supervisor(name, control.children(), clock);
  }

  private static InetAddress inetAddress(String ip) {
    try {
      return InetAddress.getByName(ip);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("ip is not an IP address: " + ip, e);
    }
  }

  /** Returns the entry VM under which the proxy is registered with the platform. */
  Vm vm() {
    return vm;
  }

  /** Returns the number of proxies in the fleet according to this proxy. */
  int fleetSize() {
    return control.membership().fleetSize();
  }

  /** Starts to serve peer messages, to poll the platform and to send heartbeats. */
  void start() throws InterruptedException {
    endpoint.start();
    supervisor.start();
  }

  @Override
  public String domain() {
    return vm.failureDomain();
  }

  @Override
  public long version() {
    return control.appliedLog().current().version();
  }

  @Override
  public OperatorReply run(OperatorRequest request) {
    return operator.answer(request);
  }

  @Override
  public void close() {
    supervisor.stop();
    endpoint.close();
    http.close();
  }
}
