package io.lycheejunction.proxy;

import io.lycheejunction.common.http.HttpCaller;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.language.Cell;
import io.lycheejunction.core.language.Statement.Subject;
import io.lycheejunction.core.language.Table;
import io.lycheejunction.core.port.PeerTransport;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.retry.RetryBudget;
import io.lycheejunction.core.retry.SharedRetryBudget;
import io.lycheejunction.core.session.TokenCodec;
import io.lycheejunction.proxy.caller.CallerMetrics;
import io.lycheejunction.proxy.caller.CallerParts;
import io.lycheejunction.proxy.caller.Coordinator;
import io.lycheejunction.proxy.caller.HttpServer;
import io.lycheejunction.proxy.caller.Readiness;
import io.lycheejunction.proxy.forward.HttpPeerTransport;
import io.lycheejunction.proxy.forward.PeerRoutes;
import io.lycheejunction.proxy.group.GroupSettings;
import io.lycheejunction.proxy.group.Groups;
import io.lycheejunction.proxy.group.VirtualThreadFanout;
import io.lycheejunction.proxy.holder.HolderSettings;
import io.lycheejunction.proxy.holder.PooledHolders;
import io.lycheejunction.proxy.operator.Control;
import io.lycheejunction.proxy.operator.Operator;
import io.lycheejunction.proxy.operator.Shutdown;
import io.lycheejunction.proxy.operator.Tables;
import io.lycheejunction.proxy.platform.HttpObjectStore;
import io.lycheejunction.proxy.platform.HttpPlatformTable;
import io.lycheejunction.proxy.platform.HttpVmDirectory;
import io.lycheejunction.proxy.platform.PlatformCalls;
import io.lycheejunction.proxy.supervisor.Child;
import io.lycheejunction.proxy.supervisor.Drainable;
import io.lycheejunction.proxy.supervisor.Periodic;
import io.lycheejunction.proxy.supervisor.Supervisor;
import io.lycheejunction.proxy.target.HttpTargetPort;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Executors;

/**
 * The proxy's supervisor tree and its shutdown.
 *
 * @param root the root supervisor, not yet started
 * @param shutdown the one path by which the proxy leaves
 */
record ProxyTree(Supervisor root, Shutdown shutdown) {
  private static final long PLATFORM_TIMEOUT_MS = 1_000;
  private static final long REBALANCE_INTERVAL_MS = 100;
  private static final long SETTLE_INTERVAL_MS = 200;
  private static final double RETRY_SHARE = 0.2;
  private static final double RETRY_RESERVE = 100;

  /** Rejects null components. */
  ProxyTree {
    Objects.requireNonNull(root, "root is null");
    Objects.requireNonNull(shutdown, "shutdown is null");
  }

  /**
   * Returns the tree of a proxy with the given settings, not yet started.
   *
   * @param settings the settings
   * @param tokens signs session tokens
   * @param clock the runtime clock
   * @return the tree
   */
  static ProxyTree of(ProxySettings settings, TokenCodec tokens, RuntimeClock clock) {
    HttpCaller http = HttpCaller.plain(Optional.of(address(settings.ip())));
    Random seeds = new Random(settings.vm().hashCode() ^ clock.wallMs());
    PeerRoutes routes = new PeerRoutes();
    PeerTransport transport = new HttpPeerTransport(http, List.of());
    PlatformCalls calls = new PlatformCalls(http, settings.platform(), PLATFORM_TIMEOUT_MS);
    Control.Ports ports =
        new Control.Ports(
            new HttpPlatformTable(calls),
            new HttpObjectStore(calls),
            new HttpVmDirectory(calls),
            transport,
            routes);
    Vm self =
        new Vm(settings.vm(), Vm.Kind.ENTRY, settings.failureDomain(), settings.listen(), false);
    Control control = new Control(self, settings.seeds(), ports, clock, child(seeds));
    HttpTargetPort targets = new HttpTargetPort(http);
    Groups groups =
        new Groups(
            control.configuration(),
            targets,
            control.membership(),
            transport,
            routes,
            clock,
            new VirtualThreadFanout(),
            child(seeds),
            GroupSettings.standard());
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    PooledHolders holders =
        new PooledHolders(
            control.configuration(),
            control.membership(),
            groups.watch(),
            targets,
            transport,
            clock,
            child(seeds),
            registry,
            Executors.newVirtualThreadPerTaskExecutor(),
            HolderSettings.defaults());
    holders.register(routes);
    Coordinator coordinator =
        new Coordinator(
            control.configuration(),
            groups.watch(),
            holders,
            control.membership(),
            new SharedRetryBudget(RetryBudget.full(RETRY_SHARE, RETRY_RESERVE)),
            child(seeds),
            clock,
            settings.callers(),
            new CallerMetrics(registry));
    Shutdown shutdown =
        control.shutdown(List.of(new CallerWork(coordinator, clock), new HolderWork(holders)));
    Operator operator = operator(control, groups, coordinator, shutdown, child(seeds));
    List<Object> beans =
        new ArrayList<>(CallerParts.of(coordinator, tokens, settings.callers()).beans());
    beans.addAll(List.of(routes, readiness(control, shutdown), operator, registry));
    HttpServer server = new HttpServer(listen(settings), beans);
    List<Child> children = new ArrayList<>();
    children.add(server);
    children.addAll(control.children());
    children.add(groups.child());
    children.add(new Periodic("holder", clock, () -> REBALANCE_INTERVAL_MS, holders::rebalance));
    children.add(
        new Periodic("settler", clock, () -> SETTLE_INTERVAL_MS, coordinator.settler()::settle));
    return new ProxyTree(new Supervisor("proxy", children, clock), shutdown);
  }

  private static Random child(Random seeds) {
    return new Random(seeds.nextLong());
  }

  private static InetAddress address(String ip) {
    try {
      return InetAddress.getByName(ip);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("not an IP address: " + ip, e);
    }
  }

  private static Map<String, Object> listen(ProxySettings settings) {
    return Map.of("micronaut.server.host", settings.ip(), "micronaut.server.port", settings.port());
  }

  private static Readiness readiness(Control control, Shutdown shutdown) {
    return () -> shutdown.reasonNotReady().or(control::reasonNotReady);
  }

  private static Operator operator(
      Control control, Groups groups, Coordinator coordinator, Shutdown shutdown, Random random) {
    Tables tables = new Tables();
    tables.add(Subject.REFUSED, () -> refused(coordinator));
    return control.operator(
        tables,
        groups.watch(),
        (group, target) ->
            groups
                .promote(group, target)
                .map(view -> target + " is the primary of " + group + " in term " + view.term()),
        shutdown,
        Control.ids(random));
  }

  private static Table refused(Coordinator coordinator) {
    List<List<Cell>> rows =
        coordinator.refusals().counts().stream()
            .map(
                count ->
                    List.of(
                        Cell.text(count.service()),
                        Cell.count(count.code().number()),
                        Cell.text(count.code().name()),
                        Cell.count(count.count())))
            .toList();
    return new Table(List.of("service", "code", "name", "count"), rows);
  }

  /** The callers' requests that are in flight. */
  private record CallerWork(Coordinator coordinator, RuntimeClock clock) implements Drainable {
    @Override
    public void drain() {
      coordinator.inFlight().close();
    }

    @Override
    public boolean awaitIdle(long timeoutMs) {
      try {
        return coordinator.inFlight().awaitIdle(clock, timeoutMs);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    }

    @Override
    public String waitingFor() {
      int size = coordinator.inFlight().size();
      return size == 0 ? "" : size + " requests of callers";
    }
  }

  /** The work of the held targets. */
  private record HolderWork(PooledHolders holders) implements Drainable {
    @Override
    public void drain() {
      holders.drain();
    }

    @Override
    public boolean awaitIdle(long timeoutMs) {
      return holders.awaitIdle(timeoutMs);
    }

    @Override
    public String waitingFor() {
      return holders.awaitIdle(0) ? "" : "statements and transactions on held targets";
    }
  }
}
