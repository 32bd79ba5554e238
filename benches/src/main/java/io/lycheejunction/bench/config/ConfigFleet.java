package io.lycheejunction.bench.config;

import io.lycheejunction.bench.load.PlatformClient;
import io.lycheejunction.common.clock.SystemRuntimeClock;
import io.lycheejunction.common.http.HttpCaller;
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

/** A stand-in platform and the proxies that use it. */
final class ConfigFleet implements AutoCloseable {
  /** The failure domains, in which the proxies are placed in turn. */
  static final List<String> DOMAINS = List.of("ikeja", "lekki", "apapa");

  /** The service that the changes alter. */
  static final String SERVICE = "svc";

  private static final long DOMAIN_DELAY_MS = 3;
  private static final long START_LIMIT_MS = 30_000;
  private static final long POLL_MS = 5;
  private static final long NS_PER_MS = 1_000_000;

  final Traffic traffic = new Traffic();
  final List<ConfigNode> nodes = new ArrayList<>();
  private final RuntimeClock clock = new SystemRuntimeClock();
  private final HttpCaller http = HttpCaller.plain(Optional.empty());
  private final Standin standin;
  private final PlatformClient platform;
  private int changes;

  private ConfigFleet() throws UnknownHostException {
    GroupSettings group = new GroupSettings("g1", 3, 3, 20, 10, 1, 5);
    standin =
        new Standin(
            new StandinSettings("127.0.0.1", 0, 0, DOMAINS, DOMAIN_DELAY_MS, List.of(group)),
            clock);
    platform = new PlatformClient(http, standin.address());
  }

  /** Returns a running fleet of whole proxies. */
  static ConfigFleet whole(int proxies) throws InterruptedException, UnknownHostException {
    ConfigFleet fleet = new ConfigFleet();
    for (int i = 0; i < proxies; i++) {
      WholeNode node =
          new WholeNode("vm-" + i, domain(i), ip(i), fleet.standin.address(), fleet.http);
      fleet.platform.register(node.vm());
      node.start();
      fleet.nodes.add(node);
    }
    return fleet.prepared();
  }

  /** Returns a running fleet of the control parts only. */
  static ConfigFleet light(int proxies, Random seeds)
      throws InterruptedException, UnknownHostException {
    ConfigFleet fleet = new ConfigFleet();
    List<LightNode> light = new ArrayList<>();
    for (int i = 0; i < proxies; i++) {
      light.add(
          new LightNode(
              "vm-" + i,
              domain(i),
              ip(i),
              fleet.standin.address(),
              fleet.traffic,
              fleet.clock,
              new Random(seeds.nextLong())));
    }
    light.forEach(node -> fleet.platform.register(node.vm()));
    for (LightNode node : light) {
      node.start();
      fleet.clock.sleepMs(POLL_MS);
    }
    fleet.nodes.addAll(light);
    fleet.await(() -> light.stream().allMatch(node -> node.fleetSize() == proxies));
    return fleet.prepared();
  }

  private static String domain(int i) {
    return DOMAINS.get(i % DOMAINS.size());
  }

  private static String ip(int i) {
    return "127.0." + (i % DOMAINS.size() + 1) + "." + (i / DOMAINS.size() + 1);
  }

  private ConfigFleet prepared() throws InterruptedException {
    PlatformClient.Group group = platform.groups().getFirst();
    String targets =
        group.targets().stream()
            .map(t -> t.name() + " in " + t.failureDomain() + " at " + t.address())
            .collect(Collectors.joining(", ", "(", ")"));
    ConfigNode first = nodes.getFirst();
    await(() -> first.version() >= 0);
    accept(
        first, "create group " + group.name() + " targets " + targets + " slots 3 connections 20");
    OperatorReply last = accept(first, "create service " + SERVICE + " on " + group.name());
    long version = last.version().orElseThrow();
    await(() -> nodes.stream().allMatch(node -> node.version() >= version));
    return this;
  }

  private OperatorReply accept(ConfigNode node, String command) {
    OperatorReply reply = run(node, command, Optional.empty());
    if (reply.version().isEmpty()) {
      throw new IllegalStateException(command + ": " + reply.name() + " " + reply.text());
    }
    return reply;
  }

  private void await(BooleanSupplier condition) throws InterruptedException {
    long untilMs = clock.monotonicMs() + START_LIMIT_MS;
    while (!condition.getAsBoolean()) {
      if (clock.monotonicMs() >= untilMs) {
        throw new IllegalStateException("the fleet did not start in " + START_LIMIT_MS + " ms");
      }
      clock.sleepMs(POLL_MS);
    }
  }

  /** Returns a change that differs from the previous one. */
  String nextChange() {
    changes++;
    return "alter service " + SERVICE + " with weight = " + (1 + changes % 9);
  }

  /** Returns a proxy's answer to a statement. */
  OperatorReply run(ConfigNode node, String command, Optional<String> id) {
    return node.run(new OperatorRequest(command, Optional.empty(), id, false, false));
  }

  /** Returns whether an answer says that the change is in the log. */
  static boolean isAccepted(OperatorReply reply) {
    return reply.code() == ResultCode.DONE.number() && reply.version().isPresent();
  }

  /**
   * Returns the time until the version is in force on all chosen proxies, in milliseconds, or empty
   * if it is not within the limit.
   */
  OptionalLong inForceMs(long version, Predicate<ConfigNode> chosen, long limitMs)
      throws InterruptedException {
    long beganNs = System.nanoTime();
    List<ConfigNode> waiting = new ArrayList<>(nodes.stream().filter(chosen).toList());
    while (true) {
      waiting.removeIf(node -> node.version() >= version);
      long passedMs = (System.nanoTime() - beganNs) / NS_PER_MS;
      if (waiting.isEmpty()) {
        return OptionalLong.of(passedMs);
      }
      if (passedMs >= limitMs) {
        return OptionalLong.empty();
      }
      clock.sleepMs(POLL_MS);
    }
  }

  /** Sets a fault. */
  void fault(FaultMessage message) {
    standin.fault(message);
  }

  /** Waits. */
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
