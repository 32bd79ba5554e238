package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.group.GroupWatch;
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

/** The targets whose connections this proxy holds; safe for concurrent use. */
final class HeldTargets {
  private static final Fault MOVED = Fault.of(ResultCode.NOT_HOLDER, "another proxy took over");

  private final ConfigurationSource configuration;
  private final Peers peers;
  private final TargetPort port;
  private final GroupWatch watch;
  private final RuntimeClock clock;
  private final HolderSettings settings;
  private final HolderMetrics metrics;
  private final Executor warmUps;
  private final Map<String, HeldTarget> held = new ConcurrentHashMap<>();

  HeldTargets(
      ConfigurationSource configuration,
      Peers peers,
      TargetPort port,
      GroupWatch watch,
      RuntimeClock clock,
      HolderSettings settings,
      HolderMetrics metrics,
      Executor warmUps) {
    this.configuration = configuration;
    this.peers = peers;
    this.port = port;
    this.watch = watch;
    this.clock = clock;
    this.settings = settings;
    this.metrics = metrics;
    this.warmUps = warmUps;
    metrics.inUse(() -> held.values().stream().mapToInt(target -> target.pool().inUse()).sum());
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
        .flatMap(spec -> target(spec, target))
        .flatMap(
            spec ->
                HolderChoice.holderOf(spec, peers.live())
                    .map(Result::success)
                    .orElseGet(
                        () ->
                            Result.failure(
                                ResultCode.NOT_HOLDER, "no proxy is live for " + target)));
  }

  /** Returns the target's pool, or {@code NOT_HOLDER} if another proxy holds it. */
  Result<HeldTarget> find(String group, String target) {
    return holderOf(group, target)
        .flatMap(
            vm ->
                vm.name().equals(peers.self().name())
                    ? group(group).flatMap(spec -> pool(spec, target))
                    : Result.failure(ResultCode.NOT_HOLDER, target + " is held by " + vm.name()));
  }

  /** Opens pools that this proxy has come to hold, and ends those that it no longer holds. */
  void rebalance() {
    Set<String> mine = new HashSet<>();
    for (GroupSpec group : configuration.current().groups().values()) {
      for (TargetSpec target : group.targets()) {
        if (isMine(target)) {
          mine.add(target.name());
          maintain(group, target);
        }
      }
    }
    for (String name : List.copyOf(held.keySet())) {
      if (!mine.contains(name)) {
        retire(name, MOVED);
      }
    }
  }

  /** Ends all pools. */
  void retireAll(Fault reason) {
    List.copyOf(held.keySet()).forEach(name -> retire(name, reason));
  }

  private static Result<TargetSpec> target(GroupSpec group, String name) {
    return group
        .target(name)
        .map(Result::success)
        .orElseGet(() -> Result.failure(ResultCode.BAD_VALUE, "no such target: " + name));
  }

  private Result<HeldTarget> pool(GroupSpec group, String name) {
    return target(group, name).map(spec -> pool(group, spec));
  }

  private HeldTarget pool(GroupSpec group, TargetSpec spec) {
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
            current.retire(MOVED);
          }
          return create(group, spec);
        });
  }

  private HeldTarget create(GroupSpec group, TargetSpec spec) {
    PoolLimits limits = PoolLimits.of(group).halved();
    return new HeldTarget(group.name(), spec, limits, port, watch, clock, settings, metrics);
  }

  private boolean isMine(TargetSpec target) {
    Optional<Vm> holder = HolderChoice.holderOf(target, peers.live());
    return holder.isPresent() && holder.get().name().equals(peers.self().name());
  }

  private void maintain(GroupSpec group, TargetSpec spec) {
    HeldTarget target = pool(group, spec);
    boolean handover = clock.monotonicMs() - target.heldSinceMs() < settings.handoverMs();
    PoolLimits limits = PoolLimits.of(group);
    target.resize(handover ? limits.halved() : limits);
    target.shrink(settings.idleConnectionMs());
    if (!peers.isLeaving(spec.name())) {
      warmUps.execute(target::warm);
    }
  }

  private void retire(String name, Fault reason) {
    HeldTarget target = held.remove(name);
    if (target != null) {
      target.retire(reason);
    }
  }
}
