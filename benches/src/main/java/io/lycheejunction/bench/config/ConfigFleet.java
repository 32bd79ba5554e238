package io.lycheejunction.bench.config;

import io.lycheejunction.bench.load.PlatformClient;
import io.lycheejunction.common.clock.SystemRuntimeClock;
import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.operator.OperatorReply;
import io.lycheejunction.common.operator.OperatorRequest;
import io.lycheejunction.common.wire.FaultMessage;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.standin.GroupSettings;
import io.lycheejunction.standin.Standin;
import io.lycheejunction.standin.StandinSettings;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** A stand-in platform and the proxies that are connected to it, all in this process. */
final class ConfigFleet implements AutoCloseable {
  /** The failure domains, to which the proxies are assigned round-robin. */
  static final List<String> DOMAINS = List.of("ikeja", "lekki", "apapa");

  /** The service that the changes alter. */
  static final String SERVICE = "svc";

  private static final long DOMAIN_DELAY_MS = 3;
  private static final long START_TIMEOUT_MS = 30_000;
  private static final long POLL_MS = 5;
  private static final long NS_PER_MS = 1_000_000;

  final Traffic traffic = new Traffic();
  final List<ConfigNode> nodes = new ArrayList<>();
  private final RuntimeClock clock = new SystemRuntimeClock();
  private final BlockingHttpClient http = BlockingHttpClient.plain(Optional.empty());
  private final Standin standin;
  private final PlatformClient platform;
  private int changeCount;

  private ConfigFleet() throws UnknownHostException {
    GroupSettings group = new GroupSettings("g1", 3, 3, 20, 10, 1, 5);
    standin =
        new Standin(
            new StandinSettings("127.0.0.1", 0, 0, DOMAINS, DOMAIN_DELAY_MS, List.of(group)),
            clock);
    platform = new PlatformClient(http, standin.address());
  }

  /** Returns a running fleet of complete proxies, with a group and a service configured. */
  static ConfigFleet ofFullProxies(int proxies) throws InterruptedException, UnknownHostException {
    ConfigFleet fleet = new ConfigFleet();
    for (int i = 0; i < proxies; i++) {
      FullNode node =
          new FullNode("vm-" + i, domainOf(i), ipOf(i), fleet.standin.address(), fleet.http);
      fleet.platform.register(node.vm());
      node.start();
      fleet.nodes.add(node);
    }
    return fleet.withGroupAndService();
  }

  /**
   * Returns a running fleet of proxies without a statement path, with a group and a service
   * configured.
   */
  static ConfigFleet controlPlaneOnly(int proxies, Random seedSource)
      throws InterruptedException, UnknownHostException {
    ConfigFleet fleet = new ConfigFleet();
    List<ControlPlaneNode> controlNodes = new ArrayList<>();
    for (int i = 0; i < proxies; i++) {
      controlNodes.add(
          new ControlPlaneNode(
              "vm-" + i,
              domainOf(i),
              ipOf(i),
              fleet.standin.address(),
              fleet.traffic,
              fleet.clock,
              new Random(seedSource.nextLong())));
    }
    controlNodes.forEach(node -> fleet.platform.register(node.vm()));
    for (ControlPlaneNode node : controlNodes) {
      node.start();
      fleet.clock.sleepMs(POLL_MS);
    }
    fleet.nodes.addAll(controlNodes);
    fleet.await(() -> controlNodes.stream().allMatch(node -> node.fleetSize() == proxies));
    return fleet.withGroupAndService();
  }

  private static String domainOf(int index) {
    return DOMAINS.get(index % DOMAINS.size());
  }

  private static String ipOf(int index) {
    return "127.0." + (index % DOMAINS.size() + 1) + "." + (index / DOMAINS.size() + 1);
  }

  private ConfigFleet withGroupAndService() throws InterruptedException {
    PlatformClient.Group group = platform.groups().getFirst();
    String targets =
        group.targets().stream()
            .map(
                target ->
                    target.name() + " in " + target.failureDomain() + " at " + target.address())
            .collect(Collectors.joining(", ", "(", ")"));
    ConfigNode first = nodes.getFirst();
    await(() -> first.version() >= 0);
    runAccepted(
        first, "create group " + group.name() + " targets " + targets + " slots 3 connections 20");
    OperatorReply serviceCreated =
        runAccepted(first, "create service " + SERVICE + " on " + group.name());
    long version = serviceCreated.version().orElseThrow();
    await(() -> nodes.stream().allMatch(node -> node.version() >= version));
    return this;
  }

  private OperatorReply runAccepted(ConfigNode node, String command) {
    OperatorReply reply = run(node, command, Optional.empty());
    if (reply.version().isEmpty()) {
      throw new IllegalStateException(command + ": " + reply.name() + " " + reply.text());
    }
    return reply;
  }

  private void await(BooleanSupplier condition) throws InterruptedException {
    long untilMs = clock.monotonicMs() + START_TIMEOUT_MS;
    while (!condition.getAsBoolean()) {
      if (clock.monotonicMs() >= untilMs) {
        throw new IllegalStateException(
            "the fleet was not ready after " + START_TIMEOUT_MS + " ms");
      }
      clock.sleepMs(POLL_MS);
    }
  }

  /** Returns the command of a change whose weight differs from that of the previous change. */
  String nextChange() {
    changeCount++;
    return "alter service " + SERVICE + " with weight = " + (1 + changeCount % 9);
  }

  /** Returns a proxy's reply to an operator command, with an optional change id. */
  OperatorReply run(ConfigNode node, String command, Optional<String> changeId) {
    return node.run(new OperatorRequest(command, Optional.empty(), changeId, false, false));
  }

  /** Returns whether a reply confirms that the change is in the configuration log. */
  static boolean isAccepted(OperatorReply reply) {
    return reply.code() == ResultCode.DONE.number() && reply.version().isPresent();
  }

  /**
   * Returns the time from this call until the version is in force on all selected proxies, in
   * milliseconds, or empty if the timeout passes first.
   */
  OptionalLong inForceMs(long version, Predicate<ConfigNode> selected, long timeoutMs)
      throws InterruptedException {
    long startNs = System.nanoTime();
    List<ConfigNode> pending = new ArrayList<>(nodes.stream().filter(selected).toList());
    while (true) {
      pending.removeIf(node -> node.version() >= version);
      long elapsedMs = (System.nanoTime() - startNs) / NS_PER_MS;
      if (pending.isEmpty()) {
        return OptionalLong.of(elapsedMs);
      }
      if (elapsedMs >= timeoutMs) {
        return OptionalLong.empty();
      }
      clock.sleepMs(POLL_MS);
    }
  }

  /** Injects a fault into the stand-in platform. */
  void injectFault(FaultMessage message) {
    standin.injectFault(message);
  }

  void sleepMs(long durationMs) throws InterruptedException {
    clock.sleepMs(durationMs);
  }

  @Override
  public void close() {
    nodes.parallelStream().forEach(ConfigNode::close);
    standin.close();
    http.close();
  }
}
