package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.TargetPort;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.routing.HolderChoice;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;

/** The targets whose connection pools this proxy holds; safe for concurrent use. */
final class HeldTargets {
  private static final Fault HOLDER_CHANGED =
      Fault.of(ResultCode.NOT_HOLDER, "another proxy took over the target");

  private final ConfigurationSource configuration;
  private final Peers peers;
  private final TargetPort port;
  private final GroupMonitor monitor;
  private final RuntimeClock clock;
  private final HolderSettings settings;
  private final HolderMetrics metrics;
  private final Executor warmUps;
  private final Map<String, HeldTarget> held = new ConcurrentHashMap<>();

  HeldTargets(
      ConfigurationSource configuration,
      Peers peers,
      TargetPort port,
      GroupMonitor monitor,
      RuntimeClock clock,
      HolderSettings settings,
      HolderMetrics metrics,
      Executor warmUps) {
    this.configuration = configuration;
    this.peers = peers;
    this.port = port;
    this.monitor = monitor;
    this.clock = clock;
    this.settings = settings;
    this.metrics = metrics;
    this.warmUps = warmUps;
    metrics.registerInUseGauge(
        () -> held.values().stream().mapToInt(target -> target.pool().inUseCount()).sum());
  }

  /** Returns the group of the given name, if it is configured. */
  Result<GroupSpec> group(String name) {
    return configuration
        .current()
        .group(name)
        .map(Result::success)
        .orElseGet(() -> Result.failure(ResultCode.BAD_VALUE, "no such group: " + name));
  }

  /** Returns the proxy that holds the target. */
  Result<Vm> holderOf(String group, String target) {
    return group(group)
        .flatMap(spec -> targetSpec(spec, target))
        .flatMap(
            spec ->
                HolderChoice.holderOf(spec, peers.live())
                    .map(Result::success)
                    .orElseGet(
                        () ->
                            Result.failure(
                                ResultCode.NOT_HOLDER, "no live proxy can hold " + target)));
  }

  /** Returns the target, or {@code NOT_HOLDER} if another proxy holds it. */
  Result<HeldTarget> find(String group, String target) {
    return holderOf(group, target)
        .flatMap(
            vm ->
                vm.name().equals(peers.self().name())
                    ? group(group).flatMap(spec -> heldTarget(spec, target))
                    : Result.failure(ResultCode.NOT_HOLDER, target + " is held by " + vm.name()));
  }

  /**
   * Creates or resizes the pools that this proxy now holds, and retires those it no longer holds.
   */
  void rebalance() {
    Set<String> heldHere = new HashSet<>();
    for (GroupSpec group : configuration.current().groups().values()) {
      for (TargetSpec target : group.targets()) {
        if (isHeldHere(target)) {
          heldHere.add(target.name());
          maintain(group, target);
        }
      }
    }
    for (String name : List.copyOf(held.keySet())) {
      if (!heldHere.contains(name)) {
        retire(name, HOLDER_CHANGED);
      }
    }
  }

  /** Retires all pools. */
  void retireAll(Fault reason) {
    List.copyOf(held.keySet()).forEach(name -> retire(name, reason));
  }

  private static Result<TargetSpec> targetSpec(GroupSpec group, String name) {
    return group
        .target(name)
        .map(Result::success)
        .orElseGet(() -> Result.failure(ResultCode.BAD_VALUE, "no such target: " + name));
  }

  private Result<HeldTarget> heldTarget(GroupSpec group, String name) {
    return targetSpec(group, name).map(spec -> heldTarget(group, spec));
  }

  private HeldTarget heldTarget(GroupSpec group, TargetSpec spec) {
    HeldTarget target = held.get(spec.name());
    if (target != null && target.spec().equals(spec)) {
      return target;
    }
    return held.compute(
        spec.name(),
        (name, current) -> {
          if (current != null && current.spec().equals(spec)) {
            return current;
          }
          if (current != null) {
            current.retire(HOLDER_CHANGED);
          }
          return create(group, spec);
        });
  }

  private HeldTarget create(GroupSpec group, TargetSpec spec) {
    PoolLimits limits = PoolLimits.of(group).halved();
    return new HeldTarget(group.name(), spec, limits, port, monitor, clock, settings, metrics);
  }

  private boolean isHeldHere(TargetSpec target) {
    Optional<Vm> holder = HolderChoice.holderOf(target, peers.live());
    return holder.isPresent() && holder.get().name().equals(peers.self().name());
  }

  private void maintain(GroupSpec group, TargetSpec spec) {
    HeldTarget target = heldTarget(group, spec);
    boolean isHandover = clock.monotonicMs() - target.heldSinceMs() < settings.handoverMs();
    PoolLimits limits = PoolLimits.of(group);
    target.resize(isHandover ? limits.halved() : limits);
    target.closeIdle(settings.idleConnectionTimeoutMs());
    if (!peers.isLeaving(spec.name())) {
      warmUps.execute(target::warmUp);
    }
  }

  private void retire(String name, Fault reason) {
    HeldTarget target = held.remove(name);
    if (target != null) {
      target.retire(reason);
    }
  }
}
