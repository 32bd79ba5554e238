package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.Configuration;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.routing.ReadQuery;
import io.lycheejunction.core.routing.ReadRouting;
import io.lycheejunction.core.routing.TargetLoads;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.holder.HolderAnswer;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/** Ranks the targets for reads by what their answers have shown of their load and lag. */
final class ReadTargets {
  private final Peers peers;
  private final RuntimeClock clock;
  private final RandomGenerator random;
  private final TargetLoads loads = new TargetLoads();

  /**
   * Creates the ranking.
   *
   * @param peers this proxy's failure domain and the targets that are leaving
   * @param clock the runtime clock
   * @param random the source of random choices between targets, safe for concurrent use
   */
  ReadTargets(Peers peers, RuntimeClock clock, RandomGenerator random) {
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.random = Objects.requireNonNull(random, "random is null");
  }

  /**
   * Returns the targets of a read, the best one first.
   *
   * @param route the service and its group
   * @param view the known state of the group
   * @param floor the position that the data must include
   * @param maxAgeMs the maximum age of the data, in milliseconds; empty for the latest data
   * @return the names of the targets
   */
  List<String> order(Route route, GroupView view, LogPosition floor, Optional<Long> maxAgeMs) {
    Set<String> leaving =
        route.group().targets().stream()
            .map(TargetSpec::name)
            .filter(peers::isLeaving)
            .collect(Collectors.toSet());
    String domain = peers.self().failureDomain();
    ReadQuery query = new ReadQuery(route.group(), view, domain, leaving, floor, maxAgeMs);
    return ReadRouting.rankTargets(query, loads::load, clock.monotonicMs(), random);
  }

  /**
   * Updates the load and position of the target that answered.
   *
   * @param answer the answer
   */
  void recordAnswer(HolderAnswer answer) {
    loads.recordAnswer(
        answer.target(), answer.queued(), answer.position(), answer.ageMs(), clock.monotonicMs());
  }

  /**
   * Updates the load of a target that did not answer a read.
   *
   * @param target the name of the target
   * @param fault the fault
   */
  void recordRefusal(String target, Fault fault) {
    loads.recordRefusal(target, fault, clock.monotonicMs());
  }

  /**
   * Removes the state of targets that a configuration does not contain.
   *
   * @param configuration the configuration in force
   */
  void retain(Configuration configuration) {
    loads.retain(
        configuration.groups().values().stream()
            .flatMap(group -> group.targets().stream())
            .map(TargetSpec::name)
            .collect(Collectors.toSet()));
  }
}
