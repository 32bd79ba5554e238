package io.lycheejunction.proxy;

import io.lycheejunction.common.burn.BurnStore;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.language.Statement.Subject;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.retry.RetryBudget;
import io.lycheejunction.core.retry.SharedRetryBudget;
import io.lycheejunction.core.session.TokenCodec;
import io.lycheejunction.proxy.burn.BurnTable;
import io.lycheejunction.proxy.burn.HourlyAggregation;
import io.lycheejunction.proxy.burn.RequestCountRecorder;
import io.lycheejunction.proxy.caller.CallerBeans;
import io.lycheejunction.proxy.caller.CallerMetrics;
import io.lycheejunction.proxy.caller.Coordinator;
import io.lycheejunction.proxy.caller.HttpServer;
import io.lycheejunction.proxy.caller.Readiness;
import io.lycheejunction.proxy.group.GroupManager;
import io.lycheejunction.proxy.group.VirtualThreadFanout;
import io.lycheejunction.proxy.holder.HolderRouter;
import io.lycheejunction.proxy.holder.HolderSettings;
import io.lycheejunction.proxy.operator.ControlPlane;
import io.lycheejunction.proxy.operator.GracefulShutdown;
import io.lycheejunction.proxy.operator.OperatorEndpoint;
import io.lycheejunction.proxy.operator.RefusedTable;
import io.lycheejunction.proxy.operator.ShowTables;
import io.lycheejunction.proxy.supervisor.Child;
import io.lycheejunction.proxy.supervisor.Drainable;
import io.lycheejunction.proxy.supervisor.Periodic;
import io.lycheejunction.proxy.supervisor.Supervisor;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;

/** Builds the proxy's parts and arranges them in a supervisor tree. */
public final class ProxyTree {
  private static final long REBALANCE_INTERVAL_MS = 100;
  private static final long SETTLE_INTERVAL_MS = 200;
  private static final long CERTIFICATE_RELOAD_INTERVAL_MS = 10_000;
  private static final double RETRIES_PER_REQUEST = 0.2;
  private static final double MAX_RETRY_BALANCE = 100;

  private final ProxySettings settings;
  private final RuntimeClock clock;
  private final Random seedSource;
  private final Adapters adapters;
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final ControlPlane control;
  private final GroupManager groups;
  private final HolderRouter holderRouter;
  private final Coordinator coordinator;
  private final RequestCountRecorder burn;
  private final GracefulShutdown shutdown;
  private final Supervisor root;

  /**
   * Creates the parts; none is started.
   *
   * @param settings the proxy's settings
   * @param tokens signs session tokens
   * @param clock the runtime clock
   */
  public ProxyTree(ProxySettings settings, TokenCodec tokens, RuntimeClock clock) {
    this.settings = settings;
    this.clock = clock;
    this.seedSource = new Random(settings.vm().hashCode() ^ clock.wallMs());
    this.adapters = Adapters.of(settings);
    this.control = control();
    this.groups = groups();
    this.holderRouter = holderRouter();
    this.coordinator = coordinator();
    this.burn =
        new RequestCountRecorder(
            settings.vm(), registry, new BurnStore(adapters.ports().objects()), clock);
    this.shutdown = control.shutdown(drainables());
    this.root = new Supervisor("proxy", children(tokens), clock);
  }

  /**
   * Returns the root supervisor.
   *
   * @return the supervisor
   */
  public Supervisor root() {
    return root;
  }

  /**
   * Returns the graceful shutdown of the proxy.
   *
   * @return the shutdown
   */
  public GracefulShutdown shutdown() {
    return shutdown;
  }

  private Random random() {
    return new Random(seedSource.nextLong());
  }

  private ControlPlane control() {
    Vm self =
        new Vm(settings.vm(), Vm.Kind.ENTRY, settings.failureDomain(), settings.listen(), false);
    return new ControlPlane(self, settings.seeds(), adapters.ports(), clock, random());
  }

  private GroupManager groups() {
    return new GroupManager(
        control.appliedLog(),
        adapters.targets(),
        control.membership(),
        adapters.transport(),
        adapters.routes(),
        clock,
        new VirtualThreadFanout(),
        random(),
        settings.groups());
  }

  private HolderRouter holderRouter() {
    HolderRouter pooled =
        new HolderRouter(
            control.appliedLog(),
            control.membership(),
            groups.monitor(),
            adapters.targets(),
            adapters.transport(),
            clock,
            random(),
            registry,
            Executors.newVirtualThreadPerTaskExecutor(),
            HolderSettings.defaults());
    pooled.register(adapters.routes());
    return pooled;
  }

  private Coordinator coordinator() {
    return new Coordinator(
        control.appliedLog(),
        groups.monitor(),
        holderRouter,
        control.membership(),
        new SharedRetryBudget(RetryBudget.full(RETRIES_PER_REQUEST, MAX_RETRY_BALANCE)),
        random(),
        clock,
        settings.callers(),
        new CallerMetrics(registry));
  }

  private List<Drainable> drainables() {
    List<Drainable> parts =
        new ArrayList<>(
            DrainOrder.of(
                settings.shutdownNoticeMs(), coordinator.inFlight(), holderRouter, clock));
    parts.add(burn);
    return parts;
  }

  private HourlyAggregation hourlyAggregation() {
    return new HourlyAggregation(
        settings.vm(),
        control.membership()::live,
        new BurnStore(adapters.ports().objects()),
        clock);
  }

  private OperatorEndpoint operator() {
    ShowTables tables = new ShowTables();
    control.registerMetrics(registry);
    tables.add(Subject.REFUSED, new RefusedTable(registry)::table);
    tables.add(Subject.BURN, new BurnTable(burn, clock)::table);
    return control.operator(
        tables,
        groups.monitor(),
        (group, target) ->
            groups
                .promote(group, target)
                .map(view -> target + " is the primary of " + group + " in term " + view.term()),
        shutdown,
        ControlPlane.idGenerator(random()));
  }

  private HttpServer server(TokenCodec tokens) {
    Readiness readiness = () -> shutdown.reasonNotReady().or(control::reasonNotReady);
    List<Object> beans =
        new ArrayList<>(CallerBeans.of(coordinator, tokens, settings.callers()).beans());
    beans.addAll(
        List.of(adapters.routes(), readiness, operator(), registry, settings.access().gate()));
    Map<String, Object> properties =
        new HashMap<>(settings.access().serverProperties(settings.port()));
    properties.put("micronaut.server.host", settings.ip());
    return new HttpServer(properties, beans);
  }

  private List<Child> children(TokenCodec tokens) {
    List<Child> children = new ArrayList<>(control.children());
    children.add(groups.child());
    children.add(periodic("holder", REBALANCE_INTERVAL_MS, holderRouter::rebalance));
    children.add(periodic("settler", SETTLE_INTERVAL_MS, coordinator.settler()::settle));
    children.add(periodic("burn", RequestCountRecorder.INTERVAL_MS, burn::recordCounts));
    children.add(
        periodic("burn-rollup", HourlyAggregation.INTERVAL_MS, hourlyAggregation()::runIfDue));
    settings
        .access()
        .trust()
        .ifPresent(
            trust ->
                children.add(
                    periodic("certificates", CERTIFICATE_RELOAD_INTERVAL_MS, trust::reload)));
    children.add(server(tokens));
    return children;
  }

  private Periodic periodic(String name, long intervalMs, Runnable step) {
    return new Periodic(name, clock, () -> intervalMs, step);
  }
}
