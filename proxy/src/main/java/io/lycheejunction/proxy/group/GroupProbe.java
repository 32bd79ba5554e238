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

/** Runs status rounds over the groups of which this proxy holds a target. */
final class GroupProbe {
  private final ConfigurationSource configuration;
  private final Peers peers;
  private final GroupStates states;
  private final Rounds rounds;
  private final RuntimeClock clock;
  private final Fanout fanout;
  private final GroupSettings settings;
  private final Map<String, Long> lastRoundMs = new ConcurrentHashMap<>();

  GroupProbe(
      ConfigurationSource configuration,
      Peers peers,
      GroupStates states,
      Rounds rounds,
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

  /** Starts the rounds that are due. */
  void tick() {
    List<GroupSpec> watched = watched();
    long intervalMs = settings.budget().intervalMs(remoteProbes(watched));
    for (GroupSpec spec : watched) {
      long nowMs = clock.monotonicMs();
      if (isDue(spec, intervalMs, nowMs)) {
        lastRoundMs.put(spec.name(), nowMs);
        fanout.start("probe-" + spec.name(), () -> probe(spec));
      }
    }
  }

  private boolean isDue(GroupSpec spec, long intervalMs, long nowMs) {
    Long last = lastRoundMs.get(spec.name());
    return last == null
        || nowMs - last >= intervalMs
        || (nowMs - last >= settings.budget().floorMs() && isDoubtful(spec, nowMs));
  }

  private boolean isDoubtful(GroupSpec spec, long nowMs) {
    GroupState state = states.of(spec.name());
    Optional<String> primary = state.view().primary();
    return primary.isEmpty()
        || state.suspicion(primary.get(), nowMs).isDoubtful(nowMs)
        || state.sight(spec, nowMs) != PrimaryLoss.Sight.PRESENT;
  }

  private void probe(GroupSpec spec) {
    rounds.run(
        spec,
        asked(spec),
        states.of(spec.name()),
        Optional.empty(),
        tally -> false,
        settings.probeTimeoutMs());
  }

  /**
   * Returns the groups that this proxy watches: those of which it holds a target.
   *
   * @return the groups
   */
  List<GroupSpec> watched() {
    List<Vm> live = peers.live();
    List<GroupSpec> watched = new ArrayList<>();
    for (GroupSpec spec : configuration.current().groups().values()) {
      if (spec.targets().stream().anyMatch(t -> holds(t, live))) {
        watched.add(spec);
      }
    }
    return watched;
  }

  private boolean holds(TargetSpec target, List<Vm> live) {
    return HolderChoice.holderOf(target, live)
        .filter(vm -> vm.name().equals(peers.self().name()))
        .isPresent();
  }

  private List<TargetSpec> asked(GroupSpec spec) {
    GroupState state = states.of(spec.name());
    long nowMs = clock.monotonicMs();
    List<Vm> live = peers.live();
    Optional<String> primary = state.view().primary();
    boolean holdsPrimary =
        primary.flatMap(spec::target).filter(target -> holds(target, live)).isPresent();
    if (holdsPrimary || isDoubtful(spec, nowMs)) {
      return spec.targets();
    }
    List<TargetSpec> asked =
        spec.targets().stream()
            .filter(t -> t.name().equals(primary.get()) || holds(t, live))
            .toList();
    return asked.size() >= spec.majority() ? asked : spec.targets();
  }

  private int remoteProbes(List<GroupSpec> watched) {
    String own = peers.self().failureDomain();
    int probes = 0;
    for (GroupSpec spec : watched) {
      for (TargetSpec target : asked(spec)) {
        probes += target.failureDomain().equals(own) ? 0 : 1;
      }
    }
    return probes;
  }
}
