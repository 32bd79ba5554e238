package io.lycheejunction.proxy.operator;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.group.GroupWatch;
import io.lycheejunction.core.port.ObjectStore;
import io.lycheejunction.core.port.PeerTransport;
import io.lycheejunction.core.port.PlatformTable;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.port.VmDirectory;
import io.lycheejunction.proxy.caller.Readiness;
import io.lycheejunction.proxy.configuration.AppliedLog;
import io.lycheejunction.proxy.configuration.ConfigurationLog;
import io.lycheejunction.proxy.configuration.ConfigurationWriter;
import io.lycheejunction.proxy.forward.PeerRoutes;
import io.lycheejunction.proxy.membership.Heartbeats;
import io.lycheejunction.proxy.membership.Membership;
import io.lycheejunction.proxy.membership.VmListPoll;
import io.lycheejunction.proxy.supervisor.Child;
import io.lycheejunction.proxy.supervisor.Drainable;
import io.lycheejunction.proxy.supervisor.Periodic;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Builds configuration, membership, operators' endpoint and shutdown from their dependencies. */
public final class Control implements Readiness {
  private final Ports ports;
  private final RuntimeClock clock;
  private final AppliedLog applied = new AppliedLog();
  private final ConfigurationLog log;
  private final Membership membership;
  private final Heartbeats heartbeats;
  private final VmListPoll list;

  /**
   * What the parts reach.
   *
   * @param table the platform's table service
   * @param objects the platform's object store
   * @param directory the platform's list
   * @param transport sends messages to proxies
   * @param routes receives the handlers of such messages
   */
  public record Ports(
      PlatformTable table,
      ObjectStore objects,
      VmDirectory directory,
      PeerTransport transport,
      PeerRoutes routes) {
    /** Rejects null components. */
    public Ports {
      Objects.requireNonNull(table, "table is null");
      Objects.requireNonNull(objects, "objects is null");
      Objects.requireNonNull(directory, "directory is null");
      Objects.requireNonNull(transport, "transport is null");
      Objects.requireNonNull(routes, "routes is null");
    }
  }

  /**
   * Creates the parts; they do nothing until the children start.
   *
   * @param self this proxy's entry VM
   * @param seeds addresses of other proxies, as {@code ip:port}, for a start without the platform
   * @param ports what the parts reach
   * @param clock the runtime clock
   * @param random a seeded source, used by these parts only
   */
  public Control(
      Vm self, List<String> seeds, Ports ports, RuntimeClock clock, RandomGenerator random) {
    this.ports = Objects.requireNonNull(ports, "ports is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.log = new ConfigurationLog(ports.table(), ports.objects(), applied);
    this.membership = new Membership(self, applied, clock, random);
    this.heartbeats = new Heartbeats(membership, log, ports.transport(), ports.routes(), seeds);
    this.list = new VmListPoll(ports.directory(), membership, heartbeats, applied);
  }

  /**
   * Returns the children that read the configuration and the platform's list and exchange
   * heartbeats, in the order in which they start.
   *
   * @return the children
   */
  public List<Child> children() {
    return List.of(
        new Periodic(
            "configuration",
            clock,
            () -> ConfigurationLog.pollIntervalMs(membership.fleetSize()),
            log::poll),
        new Periodic(
            "membership",
            clock,
            () -> membership.spreadMs(VmListPoll.pollIntervalMs(membership.fleetSize())),
            list::poll),
        new Periodic(
            "heartbeat",
            clock,
            () -> Heartbeats.intervalMs(membership.fleetSize()),
            heartbeats::round));
  }

  /**
   * Returns the shutdown of this proxy, which also begins when the platform's list says that this
   * proxy's VM is leaving.
   *
   * @param parts the parts that finish their work, in the order in which they drain
   * @return the shutdown
   */
  public Shutdown shutdown(List<Drainable> parts) {
    Shutdown shutdown = new Shutdown(clock, heartbeats::announceLeaving, parts);
    list.whenSelfLeaving(() -> shutdown.begin("list"));
    return shutdown;
  }

  /**
   * Returns the operators' endpoint.
   *
   * @param tables receives the tables on configuration, membership and groups
   * @param groups knows the groups
   * @param promotion promotes targets
   * @param shutdown shuts this proxy down
   * @param ids gives identifiers for changes that come without one
   * @return the endpoint
   */
  public Operator operator(
      Tables tables,
      GroupWatch groups,
      Promotion promotion,
      Shutdown shutdown,
      Supplier<String> ids) {
    new ControlTables(log, membership, groups, clock).addTo(tables);
    ConfigurationWriter writer =
        new ConfigurationWriter(ports.table(), ports.objects(), applied, clock);
    return new Operator(
        new Operator.Services(
            writer, membership, list, ports.transport(), promotion, shutdown, ids),
        tables,
        new Rollout(membership, heartbeats, clock),
        ports.routes());
  }

  /**
   * Adds the metrics of these parts.
   *
   * @param registry keeps the meters
   */
  public void watch(MeterRegistry registry) {
    ControlMetrics.bind(registry, log, membership);
  }

  /**
   * Returns why the configuration is not known yet.
   *
   * @return the reason, or empty once a source has answered
   */
  @Override
  public Optional<String> reasonNotReady() {
    return log.isAnswered()
        ? Optional.empty()
        : Optional.of("no source of the configuration has answered");
  }

  /**
   * Returns a source of identifiers that differ from each other.
   *
   * @param random a seeded source
   * @return the identifiers
   */
  public static Supplier<String> ids(RandomGenerator random) {
    return () -> {
      synchronized (random) {
        return new UUID(random.nextLong(), random.nextLong()).toString();
      }
    };
  }

  /**
   * Returns the configuration in force.
   *
   * @return the source
   */
  public AppliedLog configuration() {
    return applied;
  }

  /**
   * Returns the configuration log.
   *
   * @return the log
   */
  public ConfigurationLog log() {
    return log;
  }

  /**
   * Returns the proxies and leaving targets.
   *
   * @return the membership
   */
  public Membership membership() {
    return membership;
  }

  /**
   * Returns the exchange of heartbeats.
   *
   * @return the heartbeats
   */
  Heartbeats heartbeats() {
    return heartbeats;
  }

  /**
   * Returns the poll of the platform's list.
   *
   * @return the poll
   */
  VmListPoll list() {
    return list;
  }
}
