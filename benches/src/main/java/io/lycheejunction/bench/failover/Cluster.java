package io.lycheejunction.bench.failover;

import com.fasterxml.jackson.databind.JsonNode;
import io.lycheejunction.bench.load.Balancer;
import io.lycheejunction.bench.load.PlatformClient;
import io.lycheejunction.common.http.HttpCaller;
import io.lycheejunction.common.http.HttpReply;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.operator.OperatorRequest;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.standin.GroupSettings;
import io.lycheejunction.standin.Standin;
import io.lycheejunction.standin.StandinSettings;
import java.net.UnknownHostException;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** The stand-ins and six proxies of one user, in this process. */
final class Cluster implements AutoCloseable {
  private static final int INSTANCES = 3;
  private static final long EXECUTE_MS = 1;
  private static final long REPLICA_LAG_MS = 5;
  private static final long TIMEOUT_MS = 20_000;
  private static final long START_LIMIT_MS = 30_000;
  private static final long POLL_MS = 100;

  final User user;
  final HttpCaller http;
  final RuntimeClock clock;
  final Standin standin;
  final ProxyFleet fleet;
  private int created;

  Cluster(User user, HttpCaller http, RuntimeClock clock) {
    this.user = user;
    this.http = http;
    this.clock = clock;
    this.fleet = new ProxyFleet(user);
    StandinSettings settings =
        new StandinSettings("127.0.0.1", 0, 0, user.domains(), user.delayMs(), List.of());
    try {
      standin = new Standin(settings, clock);
    } catch (UnknownHostException e) {
      throw new IllegalStateException("no loopback address", e);
    }
  }

  /** Starts the proxies and returns once all of them are ready. */
  void start() throws InterruptedException {
    PlatformClient platform = new PlatformClient(http, standin.address());
    fleet.vms().forEach(platform::register);
    fleet.start(standin.address(), clock);
    Balancer balancer = new Balancer(http, fleet.addresses());
    long untilMs = clock.monotonicMs() + START_LIMIT_MS;
    while (balancer.size() < fleet.vms().size()) {
      if (clock.monotonicMs() > untilMs) {
        throw new IllegalStateException("the proxies are not ready in " + START_LIMIT_MS + " ms");
      }
      clock.sleepMs(POLL_MS);
      balancer.probe();
    }
  }

  /** Returns a new group with a service of the same name, in force on all proxies. */
  PlatformClient.Group createGroup(String durability) {
    String name = "b" + ++created;
    GroupSettings settings =
        new GroupSettings(
            name,
            INSTANCES,
            user.slots(),
            user.connections(),
            user.connectMs(),
            EXECUTE_MS,
            REPLICA_LAG_MS);
    String body = post(standin.address(), "/groups", Json.write(settings));
    PlatformClient.Group group = read(body, PlatformClient.Group.class);
    String targets =
        group.targets().stream().map(Cluster::describe).collect(Collectors.joining(", "));
    order(
        "create group %s targets (%s) slots %d connections %d"
            .formatted(name, targets, group.slots(), group.connections()),
        false);
    order("create service %s on %s with durability=%s".formatted(name, name, durability), true);
    return group;
  }

  private static String describe(TargetSpec target) {
    return "%s in %s at %s".formatted(target.name(), target.failureDomain(), target.address());
  }

  /** Takes a group and its service out of the configuration. */
  void dropGroup(PlatformClient.Group group) {
    order("drop service " + group.name(), false);
    order("drop group " + group.name(), false);
    for (TargetSpec target : group.targets()) {
      post(standin.address(), "/vms/remove", "{\"name\":\"" + target.name() + "\"}");
    }
  }

  private void order(String command, boolean awaitRollout) {
    OperatorRequest request =
        new OperatorRequest(command, Optional.empty(), Optional.empty(), false, awaitRollout);
    Vm proxy = fleet.vms().getFirst();
    JsonNode reply =
        read(post(proxy.address(), "/v1/operator", Json.write(request)), JsonNode.class);
    if (reply.path("code").asInt() != ResultCode.DONE.number()) {
      throw new IllegalStateException(command + ": " + reply);
    }
  }

  private String post(String address, String path, String body) {
    HttpReply reply = http.send("POST", address, path, body, List.of(), TIMEOUT_MS);
    return reply.okBody().orElseThrow(() -> new IllegalStateException(path + ": " + reply));
  }

  private static <T> T read(String text, Class<T> type) {
    return Json.read(text, type)
        .fold(
            fault -> {
              throw new IllegalStateException(fault.detail());
            },
            value -> value);
  }

  /** Stops the proxies and the stand-ins. */
  @Override
  public void close() {
    fleet.close();
    standin.close();
  }
}
