package io.lycheejunction.proxy.matrix;

import io.lycheejunction.core.port.TargetPort;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.retry.RetryBudget;
import io.lycheejunction.core.retry.SharedRetryBudget;
import io.lycheejunction.proxy.caller.CallerLimits;
import io.lycheejunction.proxy.caller.CallerMetrics;
import io.lycheejunction.proxy.caller.Coordinator;
import io.lycheejunction.proxy.configuration.ConfigurationLog;
import io.lycheejunction.proxy.configuration.ConfigurationWriter;
import io.lycheejunction.proxy.forward.PeerRoutes;
import io.lycheejunction.proxy.group.Fanout;
import io.lycheejunction.proxy.group.GroupManager;
import io.lycheejunction.proxy.holder.HolderDrain;
import io.lycheejunction.proxy.holder.HolderRouter;
import io.lycheejunction.proxy.holder.HolderSettings;
import io.lycheejunction.proxy.operator.ControlPlane;
import io.lycheejunction.proxy.operator.ControlTicks;
import io.lycheejunction.standin.model.ModelPlatformClient;
import io.lycheejunction.standin.model.ModelTargetPort;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/** One proxy: the production classes on top of the modelled platform and database group. */
final class ProxyNode {
  private static final double RETRY_SHARE = 0.2;
  private static final double RETRY_RESERVE = 100;

  private static final class PeriodicTask {
    private final long intervalMs;
    private final Runnable body;
    private long dueMs;
    private boolean running;

    PeriodicTask(long intervalMs, Runnable body) {
      this.intervalMs = intervalMs;
      this.body = body;
    }
  }

  private final Fleet fleet;
  private final Vm vm;
  private final PeerRoutes routes = new PeerRoutes();
  private final List<PeriodicTask> periodicTasks = new ArrayList<>();
  private final List<Runnable> deferredRequests = new ArrayList<>();
  private final ControlPlane control;
  private final GroupManager groups;
  private final HolderRouter holderRouter;
  private final Coordinator coordinator;
  private final ConfigurationWriter writer;
  private boolean dead;
  private boolean paused;

  ProxyNode(Fleet fleet, Vm vm, int seed) {
    this.fleet = fleet;
    this.vm = vm;
    SplittableRandom random = new SplittableRandom(seed);
    PortClock portClock = new PortClock(fleet);
    ModelPlatformClient platform =
        new ModelPlatformClient(
            vm.failureDomain(), fleet.platform, fleet.links, fleet.injector, portClock);
    DirectPeerTransport peerTransport = new DirectPeerTransport(fleet, vm.failureDomain());
    ControlPlane.Ports ports =
        new ControlPlane.Ports(platform, platform, platform, peerTransport, routes);
    control = new ControlPlane(vm, List.of(), ports, fleet.clock, random.split());
    TargetPort targets =
        new RuleOmittingTargetPort(
            new ModelTargetPort(
                vm.failureDomain(), List.of(fleet.group), fleet.links, fleet.injector, portClock),
            fleet);
    groups =
        new GroupManager(
            control.appliedLog(),
            targets,
            control.membership(),
            peerTransport,
            routes,
            fleet.clock,
            Fanout.sequential(),
            random.split(),
            fleet.omittedRule.groupSettings(vm.failureDomain().equals("a")));
    SimpleMeterRegistry meterRegistry = new SimpleMeterRegistry();
    holderRouter =
        new HolderRouter(
            control.appliedLog(),
            control.membership(),
            new CheckedGroupWatch(groups.monitor(), fleet),
            targets,
            peerTransport,
            fleet.clock,
            random.split(),
            meterRegistry,
            Runnable::run,
            HolderSettings.defaults());
    holderRouter.register(routes);
    coordinator =
        new Coordinator(
            control.appliedLog(),
            groups.monitor(),
            fleet.omittedRule.comparesOffsetsOnly()
                ? new OffsetOnlyHolders(holderRouter, groups.monitor())
                : holderRouter,
            control.membership(),
            new SharedRetryBudget(RetryBudget.full(RETRY_SHARE, RETRY_RESERVE)),
            random.split(),
            fleet.clock,
            CallerLimits.defaults(),
            new CallerMetrics(meterRegistry));
    writer = new ConfigurationWriter(platform, platform, control.appliedLog(), fleet.clock);
    schedulePeriodicTasks();
  }

  private void schedulePeriodicTasks() {
    periodicTasks.add(new PeriodicTask(500, () -> ControlTicks.pollVmList(control)));
    periodicTasks.add(new PeriodicTask(1_000, () -> ControlTicks.runHeartbeatRound(control)));
    periodicTasks.add(
        new PeriodicTask(ConfigurationLog.pollIntervalMs(3), control.configurationLog()::poll));
    periodicTasks.add(new PeriodicTask(50, groups::tick));
    periodicTasks.add(new PeriodicTask(100, holderRouter::rebalance));
    periodicTasks.add(new PeriodicTask(200, coordinator.settler()::settle));
  }

  /** Runs each periodic task that is due and not already running. */
  void tick() {
    for (PeriodicTask task : periodicTasks) {
      if (!isRunning()) {
        return;
      }
      if (task.running || fleet.clock.monotonicMs() < task.dueMs) {
        continue;
      }
      task.running = true;
      fleet.runInBackground(this, task.body);
      task.running = false;
      task.dueMs = fleet.clock.monotonicMs() + task.intervalMs;
    }
  }

  /** Returns the reply to a peer's message, or empty if the proxy dies first. */
  Optional<String> handleMessage(String path, String body) {
    return fleet.runOn(this, () -> routes.handle(path, body));
  }

  /** Returns the result of a request, or empty if the proxy is not running or dies first. */
  <T> Optional<T> handleRequest(Supplier<T> request) {
    return isRunning() ? fleet.runOn(this, request) : Optional.empty();
  }

  void kill() {
    dead = true;
  }

  void pause(long durationMs) {
    paused = true;
    fleet.clock.advanceMs(durationMs);
    paused = false;
    List<Runnable> requests = List.copyOf(deferredRequests);
    deferredRequests.clear();
    requests.forEach(Runnable::run);
  }

  void deferUntilResumed(Runnable request) {
    deferredRequests.add(request);
  }

  boolean isDead() {
    return dead;
  }

  boolean isRunning() {
    return !dead && !paused;
  }

  Vm vm() {
    return vm;
  }

  String domain() {
    return vm.failureDomain();
  }

  Coordinator coordinator() {
    return coordinator;
  }

  ConfigurationWriter writer() {
    return writer;
  }

  GroupManager groups() {
    return groups;
  }

  long configurationVersion() {
    return control.appliedLog().current().version();
  }

  /** Shuts the proxy down as on an operator's order; returns once drained or at the time limit. */
  void shutDown() {
    ControlTicks.runShutdown(control.shutdown(List.of(new HolderDrain(holderRouter))));
  }
}
