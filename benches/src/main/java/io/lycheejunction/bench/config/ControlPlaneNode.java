package io.lycheejunction.bench.config;

import io.lycheejunction.common.http.HttpCaller;
import io.lycheejunction.common.operator.OperatorReply;
import io.lycheejunction.common.operator.OperatorRequest;
import io.lycheejunction.common.platform.HttpObjectStore;
import io.lycheejunction.common.platform.HttpPlatformTable;
import io.lycheejunction.common.platform.HttpVmDirectory;
import io.lycheejunction.common.platform.PlatformCalls;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.proxy.forward.HttpPeerTransport;
import io.lycheejunction.proxy.forward.PeerRoutes;
import io.lycheejunction.proxy.operator.Control;
import io.lycheejunction.proxy.operator.Operator;
import io.lycheejunction.proxy.operator.Tables;
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
  private final HttpCaller http;
  private final PeerEndpoint endpoint;
  private final Control control;
  private final Operator operator;
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
    http = HttpCaller.plain(Optional.of(inetAddress(ip)));
    PlatformCalls calls = new PlatformCalls(http, platformAddress, PLATFORM_TIMEOUT_MS);
    CountingPlatform countingPlatform =
        new CountingPlatform(new HttpPlatformTable(calls), new HttpVmDirectory(calls), traffic);
    Control.Ports ports =
        new Control.Ports(
            countingPlatform,
            new HttpObjectStore(calls),
            countingPlatform,
            new HttpPeerTransport(http, List.of()),
            routes);
    control = new Control(vm, List.of(), ports, clock, random);
    operator =
        control.operator(
            new Tables(),
            new UnmonitoredGroups(),
            (group, target) -> Result.success(target),
            control.shutdown(List.of()),
            Control.ids(new Random(random.nextLong())));
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
    return control.configuration().current().version();
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
