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
import io.lycheejunction.proxy.group.Groups;
import io.lycheejunction.proxy.holder.HolderSettings;
import io.lycheejunction.proxy.holder.HolderWork;
import io.lycheejunction.proxy.holder.PooledHolders;
import io.lycheejunction.proxy.operator.Control;
import io.lycheejunction.proxy.operator.ControlTicks;
import io.lycheejunction.standin.model.ModelPlatform;
import io.lycheejunction.standin.model.ModelTargetPort;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/** One proxy, built of the production classes over the modelled platform and group. */
final class Node {
  private static final double RETRY_SHARE = 0.2;
  private static final double RETRY_RESERVE = 100;

  private static final class Job {
    private final long intervalMs;
    private final Runnable body;
    private long dueMs;
    private boolean busy;

    Job(long intervalMs, Runnable body) {
      this.intervalMs = intervalMs;
      this.body = body;
    }
  }

  private final Fleet fleet;
  private final Vm vm;
  private final PeerRoutes routes = new PeerRoutes();
  private final List<Job> jobs = new ArrayList<>();
  private final List<Runnable> waiting = new ArrayList<>();
  private final Control control;
  private final Groups groups;
  private final PooledHolders holders;
  private final Coordinator coordinator;
  private final ConfigurationWriter writer;
  private boolean dead;
  private boolean paused;

  Node(Fleet fleet, Vm vm, int seed) {
    this.fleet = fleet;
    this.vm = vm;
    SplittableRandom seeds = new SplittableRandom(seed);
    PortClock waits = new PortClock(fleet);
    ModelPlatform platform =
        new ModelPlatform(vm.failureDomain(), fleet.platform, fleet.links, fleet.steps, waits);
    Network network = new Network(fleet, vm.failureDomain());
    Control.Ports ports = new Control.Ports(platform, platform, platform, network, routes);
    control = new Control(vm, List.of(), ports, fleet.clock, seeds.split());
    TargetPort targets =
        new WeakPort(
            new ModelTargetPort(
                vm.failureDomain(), List.of(fleet.group), fleet.links, fleet.steps, waits),
            fleet);
    groups =
        new Groups(
            control.configuration(),
            targets,
            control.membership(),
            network,
            routes,
            fleet.clock,
            Fanout.sequential(),
            seeds.split(),
            fleet.rules.groupSettings(vm.failureDomain().equals("a")));
    SimpleMeterRegistry registry = new SimpleMeterRegistry();
    holders =
        new PooledHolders(
            control.configuration(),
            control.membership(),
            new AuditedWatch(groups.watch(), fleet),
            targets,
            network,
            fleet.clock,
            seeds.split(),
            registry,
            Runnable::run,
            HolderSettings.defaults());
    holders.register(routes);
    coordinator =
        new Coordinator(
            control.configuration(),
            groups.watch(),
            fleet.rules.comparesOffsetsOnly() ? new WeakHolders(holders, groups.watch()) : holders,
            control.membership(),
            new SharedRetryBudget(RetryBudget.full(RETRY_SHARE, RETRY_RESERVE)),
            seeds.split(),
            fleet.clock,
            CallerLimits.defaults(),
            new CallerMetrics(registry));
    writer = new ConfigurationWriter(platform, platform, control.configuration(), fleet.clock);
    schedule();
  }

  private void schedule() {
    jobs.add(new Job(500, () -> ControlTicks.list(control)));
    jobs.add(new Job(1_000, () -> ControlTicks.heartbeat(control)));
    jobs.add(new Job(ConfigurationLog.pollIntervalMs(3), control.log()::poll));
    jobs.add(new Job(50, groups::tick));
    jobs.add(new Job(100, holders::rebalance));
    jobs.add(new Job(200, coordinator.settler()::settle));
  }

  /** Runs the periodic work that is due and not running already. */
  void tick() {
    for (Job job : jobs) {
      if (!isRunning()) {
        return;
      }
      if (job.busy || fleet.clock.monotonicMs() < job.dueMs) {
        continue;
      }
      job.busy = true;
      fleet.inBackground(this, job.body);
      job.busy = false;
      job.dueMs = fleet.clock.monotonicMs() + job.intervalMs;
    }
  }

  /** Returns the reply to a message, or empty when the proxy dies first. */
  Optional<String> serve(String path, String body) {
    return fleet.on(this, () -> routes.handle(path, body));
  }

  /** Returns the result of a caller's request, or empty when the proxy dies first. */
  <T> Optional<T> ask(Supplier<T> request) {
    return isRunning() ? fleet.on(this, request) : Optional.empty();
  }

  void die() {
    dead = true;
  }

  void pause(long durationMs) {
    paused = true;
    fleet.clock.advanceMs(durationMs);
    paused = false;
    List<Runnable> late = List.copyOf(waiting);
    waiting.clear();
    late.forEach(Runnable::run);
  }

  void whenResumed(Runnable request) {
    waiting.add(request);
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

  Groups groups() {
    return groups;
  }

  long version() {
    return control.configuration().current().version();
  }

  /** Shuts the proxy down, as an operator's order does, until its work is finished. */
  void shutDown() {
    ControlTicks.run(control.shutdown(List.of(new HolderWork(holders))));
  }
}
