package io.lycheejunction.proxy.group;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.group.GroupReport;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.group.GroupWatch;
import io.lycheejunction.core.port.PeerTransport;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.TargetPort;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.proxy.forward.PeerRoutes;
import io.lycheejunction.proxy.supervisor.Child;
import io.lycheejunction.proxy.supervisor.Periodic;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** The part of the proxy that watches groups and replaces their primaries. */
public final class Groups {
  private final ConfigurationSource configuration;
  private final RuntimeClock clock;
  private final GroupSettings settings;
  private final GroupProbe probe;
  private final GroupWatchers watch;
  private final Failover failover;
  private final HandOver handOver;
  private final Reports reports;

  /**
   * Creates the part, and adds its handlers to the routes.
   *
   * @param configuration gives the groups
   * @param targets reaches the instances
   * @param peers gives the live proxies
   * @param transport reaches other proxies
   * @param routes receives the handlers of messages from other proxies
   * @param clock the runtime clock
   * @param fanout runs the calls of a round
   * @param random the source of jitter and of claimants' names
   * @param settings the settings
   */
  public Groups(
      ConfigurationSource configuration,
      TargetPort targets,
      Peers peers,
      PeerTransport transport,
      PeerRoutes routes,
      RuntimeClock clock,
      Fanout fanout,
      RandomGenerator random,
      GroupSettings settings) {
    this.configuration = Objects.requireNonNull(configuration, "configuration is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.settings = Objects.requireNonNull(settings, "settings is null");
    GroupStates states = new GroupStates();
    Rounds rounds = new Rounds(targets, peers, clock, fanout);
    GroupViews views = new GroupViews(states, peers, transport, clock, fanout);
    PreVotes preVotes =
        new PreVotes(
            configuration, states, rounds, peers, transport, clock, fanout, settings.claimHoldMs());
    ClaimRun claims = new ClaimRun(targets, clock, fanout, settings.claimTimeoutMs());
    probe = new GroupProbe(configuration, peers, states, rounds, clock, fanout, settings);
    watch = new GroupWatchers(configuration, states, rounds, views, clock, settings);
    failover =
        new Failover(
            probe, states, preVotes, claims, views, peers, clock, fanout, random, settings);
    handOver =
        new HandOver(probe, states, rounds, failover, peers, transport, clock, fanout, settings);
    reports = new Reports(probe, states, failover, clock, settings);
    views.register(routes);
    preVotes.register(routes);
    handOver.register(routes);
  }

  /**
   * Returns what the request path asks.
   *
   * @return the watch
   */
  public GroupWatch watch() {
    return watch;
  }

  /** Probes the groups that are due, and replaces primaries that are gone or leaving. */
  public void tick() {
    probe.tick();
    failover.tick();
    handOver.tick();
  }

  /**
   * Returns the child that ticks.
   *
   * @return the child
   */
  public Child child() {
    return new Periodic("group", clock, settings.budget()::floorMs, this::tick);
  }

  /**
   * Returns the view after an operator's order to make an instance the primary.
   *
   * @param group the name of the group
   * @param target the name of the instance
   * @return the view, or why the instance is not the primary
   */
  public Result<GroupView> promote(String group, String target) {
    Optional<GroupSpec> spec = configuration.current().group(group);
    if (spec.isEmpty() || spec.get().target(target).isEmpty()) {
      return Result.failure(ResultCode.BAD_VALUE, "group " + group + " has no target " + target);
    }
    return handOver.run(spec.get(), target, "ordered by an operator");
  }

  /**
   * Returns the reports of all groups.
   *
   * @return the reports, ordered by the name of the group
   */
  public List<GroupReport> reports() {
    return configuration.current().groups().values().stream()
        .sorted(Comparator.comparing(GroupSpec::name))
        .map(reports::of)
        .toList();
  }
}
