package io.lycheejunction.proxy.operator;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.group.GroupMonitor;
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
import io.lycheejunction.proxy.membership.HeartbeatExchange;
import io.lycheejunction.proxy.membership.Membership;
import io.lycheejunction.proxy.membership.VmListPoller;
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

/**
 * Builds and connects the control plane of a proxy: configuration, membership, operators' endpoint
 * and shutdown.
 */
public final class ControlPlane implements Readiness {
  private final Ports ports;
  private final RuntimeClock clock;
  private final AppliedLog applied = new AppliedLog();
  private final ConfigurationLog log;
  private final Membership membership;
  private final HeartbeatExchange heartbeats;
  private final VmListPoller vmListPoll;

  /**
   * The adapters through which the parts use the platform and other proxies.
   *
   * @param table the platform's table service
   * @param objects the platform's object store
   * @param directory the platform's list of VMs
   * @param transport sends messages to other proxies
   * @param routes registers the handlers of messages from other proxies
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
   * Creates the parts; they are idle until the children start.
   *
   * @param self this proxy's entry VM
   * @param seeds addresses of other proxies, as {@code ip:port}, which are asked for the
   *     configuration if the platform is down at the start
   * @param ports the adapters of the platform and of other proxies
   * @param clock the runtime clock
   * @param random a seeded generator that no other part uses
   */
  public ControlPlane(
      Vm self, List<String> seeds, Ports ports, RuntimeClock clock, RandomGenerator random) {
    this.ports = Objects.requireNonNull(ports, "ports is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.log = new ConfigurationLog(ports.table(), ports.objects(), applied);
    this.membership = new Membership(self, applied, clock, random);
    this.heartbeats =
        new HeartbeatExchange(membership, log, ports.transport(), ports.routes(), seeds);
    this.vmListPoll = new VmListPoller(ports.directory(), membership, heartbeats, applied);
  }

  /**
   * Returns the children that poll the configuration and the platform's list of VMs and exchange
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
            () -> membership.jitteredMs(VmListPoller.pollIntervalMs(membership.fleetSize())),
            vmListPoll::poll),
        new Periodic(
            "heartbeat",
            clock,
            () -> HeartbeatExchange.intervalMs(membership.fleetSize()),
            heartbeats::runRound));
  }

  /**
   * Returns the shutdown of this proxy, which also begins when the platform's list of VMs marks
   * this proxy's VM as leaving.
   *
   * @param parts the parts to drain, in this order
   * @return the shutdown
   */
  public GracefulShutdown shutdown(List<Drainable> parts) {
    GracefulShutdown shutdown = new GracefulShutdown(clock, heartbeats::announceLeaving, parts);
    vmListPoll.onSelfLeaving(() -> shutdown.begin("list"));
    return shutdown;
  }

  /**
   * Returns the operators' endpoint.
   *
   * @param tables the tables of {@code show} statements, to which those about configuration,
   *     membership and groups are added
   * @param groups the terms, primaries and replication positions of the groups
   * @param promotion promotes targets
   * @param shutdown shuts this proxy down
   * @param ids generates identifiers for changes that are submitted without one
   * @return the endpoint
   */
  public OperatorEndpoint operator(
      ShowTables tables,
      GroupMonitor groups,
      Promotion promotion,
      GracefulShutdown shutdown,
      Supplier<String> ids) {
    new ControlTables(log, membership, groups, clock).addTo(tables);
    ConfigurationWriter writer =
        new ConfigurationWriter(ports.table(), ports.objects(), applied, clock);
    return new OperatorEndpoint(
        new OperatorEndpoint.Services(
            writer, membership, vmListPoll, ports.transport(), promotion, shutdown, ids),
        tables,
        new Rollout(membership, heartbeats, clock),
        ports.routes());
  }

  /**
   * Registers the gauges of configuration and membership.
   *
   * @param registry the registry of the proxy's meters
   */
  public void registerMetrics(MeterRegistry registry) {
    ControlMetrics.register(registry, log, membership);
  }

  /**
   * Returns why the proxy is not ready.
   *
   * @return the reason, or empty once the platform or a peer has answered with the configuration
   */
  @Override
  public Optional<String> reasonNotReady() {
    return log.isAnswered()
        ? Optional.empty()
        : Optional.of("no source of the configuration has answered");
  }

  /**
   * Returns a thread-safe generator of random identifiers in the format of UUIDs.
   *
   * @param random a seeded generator
   * @return the supplier, which returns a new identifier at each call
   */
  public static Supplier<String> idGenerator(RandomGenerator random) {
    return () -> {
      synchronized (random) {
        return new UUID(random.nextLong(), random.nextLong()).toString();
      }
    };
  }

  /**
   * Returns the applied part of the configuration log, with the configuration in force.
   *
   * @return the applied log
   */
  public AppliedLog appliedLog() {
    return applied;
  }

  /**
   * Returns the reader of the configuration log.
   *
   * @return the reader
   */
  public ConfigurationLog configurationLog() {
    return log;
  }

  /**
   * Returns the membership, which knows the live proxies and the leaving targets.
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
  HeartbeatExchange heartbeats() {
    return heartbeats;
  }

  /**
   * Returns the poll of the platform's list of VMs.
   *
   * @return the poll
   */
  VmListPoller vmListPoll() {
    return vmListPoll;
  }
}
