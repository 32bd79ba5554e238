package io.lycheejunction.proxy.group;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.failover.PrimaryLoss;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.routing.HolderChoice;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** Runs periodic status rounds for the groups of which this proxy holds a target. */
final class GroupProber {
  private final ConfigurationSource configuration;
  private final Peers peers;
  private final GroupStates states;
  private final StatusRounds rounds;
  private final RuntimeClock clock;
  private final Fanout fanout;
  private final GroupSettings settings;
  private final Map<String, Long> lastRoundStartMs = new ConcurrentHashMap<>();

  GroupProber(
      ConfigurationSource configuration,
      Peers peers,
      GroupStates states,
      StatusRounds rounds,
      RuntimeClock clock,
      Fanout fanout,
      GroupSettings settings) {
    this.configuration = Objects.requireNonNull(configuration, "configuration is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.states = Objects.requireNonNull(states, "states is null");
    this.rounds = Objects.requireNonNull(rounds, "rounds is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.fanout = Objects.requireNonNull(fanout, "fanout is null");
    this.settings = Objects.requireNonNull(settings, "settings is null");
  }

  /** Starts the status rounds that are due, without waiting for them. */
  void tick() {
    List<GroupSpec> monitored = monitoredGroups();
    long intervalMs = settings.budget().intervalMs(remoteProbes(monitored));
    for (GroupSpec spec : monitored) {
      long nowMs = clock.monotonicMs();
      if (isDue(spec, intervalMs, nowMs)) {
        lastRoundStartMs.put(spec.name(), nowMs);
        fanout.start("probe-" + spec.name(), () -> probe(spec));
      }
    }
  }

  private boolean isDue(GroupSpec spec, long intervalMs, long nowMs) {
    Long lastMs = lastRoundStartMs.get(spec.name());
    return lastMs == null
        || nowMs - lastMs >= intervalMs
        || (nowMs - lastMs >= settings.budget().floorMs() && isPrimaryUncertain(spec, nowMs));
  }

  private boolean isPrimaryUncertain(GroupSpec spec, long nowMs) {
    GroupState state = states.of(spec.name());
    Optional<String> primary = state.view().primary();
    return primary.isEmpty()
        || state.failureDetector(primary.get(), nowMs).isAnswerOverdue(nowMs)
        || state.primaryState(spec, nowMs) != PrimaryLoss.PrimaryState.PRESENT;
  }

  private void probe(GroupSpec spec) {
    rounds.run(
        spec,
        targetsToProbe(spec),
        states.of(spec.name()),
        Optional.empty(),
        tally -> false,
        settings.probeTimeoutMs());
  }

  /**
   * Returns the groups that this proxy monitors: those of which it holds a target.
   *
   * @return the groups
   */
  List<GroupSpec> monitoredGroups() {
    List<Vm> live = peers.live();
    List<GroupSpec> monitored = new ArrayList<>();
    for (GroupSpec spec : configuration.current().groups().values()) {
      if (spec.targets().stream().anyMatch(t -> holds(t, live))) {
        monitored.add(spec);
      }
    }
    return monitored;
  }

  private boolean holds(TargetSpec target, List<Vm> live) {
    return HolderChoice.holderOf(target, live)
        .filter(vm -> vm.name().equals(peers.self().name()))
        .isPresent();
  }

  private List<TargetSpec> targetsToProbe(GroupSpec spec) {
    GroupState state = states.of(spec.name());
    long nowMs = clock.monotonicMs();
    List<Vm> live = peers.live();
    Optional<String> primary = state.view().primary();
    boolean holdsPrimary =
        primary.flatMap(spec::target).filter(target -> holds(target, live)).isPresent();
    if (holdsPrimary || isPrimaryUncertain(spec, nowMs)) {
      return spec.targets();
    }
    List<TargetSpec> needed =
        spec.targets().stream()
            .filter(t -> t.name().equals(primary.get()) || holds(t, live))
            .toList();
    return needed.size() >= spec.majority() ? needed : spec.targets();
  }

  private int remoteProbes(List<GroupSpec> monitored) {
    String own = peers.self().failureDomain();
    int probes = 0;
    for (GroupSpec spec : monitored) {
      for (TargetSpec target : targetsToProbe(spec)) {
        probes += target.failureDomain().equals(own) ? 0 : 1;
      }
    }
    return probes;
  }
}
