package io.lycheejunction.proxy.group;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.group.GroupReport;
import io.lycheejunction.core.group.GroupView;
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

/** The component of the proxy that monitors groups and replaces their primaries. */
public final class GroupManager {
  private final ConfigurationSource configuration;
  private final RuntimeClock clock;
  private final GroupSettings settings;
  private final GroupProber prober;
  private final MajorityGroupMonitor monitor;
  private final Failover failover;
  private final Switchover switchover;
  private final GroupReportBuilder reportBuilder;

  /**
   * Creates the component and adds its handlers to the routes.
   *
   * @param configuration the source of the groups
   * @param targets sends requests to the instances
   * @param peers the live proxies
   * @param transport sends messages to other proxies
   * @param routes the routes to add the handlers for messages from other proxies to
   * @param clock the runtime clock
   * @param fanout runs the calls of a round
   * @param random the source of jitter and of unique claimant names
   * @param settings the settings
   */
  public GroupManager(
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
    StatusRounds rounds = new StatusRounds(targets, peers, clock, fanout);
    GroupViewExchange viewExchange = new GroupViewExchange(states, peers, transport, clock, fanout);
    PreVotes preVotes =
        new PreVotes(
            configuration, states, rounds, peers, transport, clock, fanout, settings.maxClaimMs());
    ClaimExecutor claimExecutor =
        new ClaimExecutor(targets, clock, fanout, settings.claimTimeoutMs());
    prober = new GroupProber(configuration, peers, states, rounds, clock, fanout, settings);
    monitor =
        new MajorityGroupMonitor(configuration, states, rounds, viewExchange, clock, settings);
    failover =
        new Failover(
            prober,
            states,
            preVotes,
            claimExecutor,
            viewExchange,
            peers,
            clock,
            fanout,
            random,
            settings);
    switchover =
        new Switchover(prober, states, rounds, failover, peers, transport, clock, fanout, settings);
    reportBuilder = new GroupReportBuilder(prober, states, failover, clock, settings);
    viewExchange.register(routes);
    preVotes.register(routes);
    switchover.register(routes);
  }

  /**
   * Returns the group monitor that the request path queries.
   *
   * @return the monitor
   */
  public GroupMonitor monitor() {
    return monitor;
  }

  /** Probes the groups that are due and replaces primaries that are gone or leaving. */
  public void tick() {
    prober.tick();
    failover.tick();
    switchover.tick();
  }

  /**
   * Returns the supervised child that calls {@link #tick} periodically.
   *
   * @return the child
   */
  public Child child() {
    return new Periodic("group", clock, settings.budget()::floorMs, this::tick);
  }

  /**
   * Promotes an instance on request of an operator and returns the new view of the group.
   *
   * @param group the name of the group
   * @param target the name of the instance
   * @return the view, or the fault that prevented the promotion; {@code BAD_VALUE} if the group or
   *     the instance is not in the configuration
   */
  public Result<GroupView> promote(String group, String target) {
    Optional<GroupSpec> spec = configuration.current().group(group);
    if (spec.isEmpty() || spec.get().target(target).isEmpty()) {
      return Result.failure(ResultCode.BAD_VALUE, "group " + group + " has no target " + target);
    }
    return switchover.run(spec.get(), target, "ordered by an operator");
  }

  /**
   * Returns the reports of all groups.
   *
   * @return the reports, ordered by group name
   */
  public List<GroupReport> reports() {
    return configuration.current().groups().values().stream()
        .sorted(Comparator.comparing(GroupSpec::name))
        .map(reportBuilder::of)
        .toList();
  }
}
