package io.lycheejunction.bench.failover;

import com.fasterxml.jackson.databind.JsonNode;
import io.lycheejunction.bench.load.Balancer;
import io.lycheejunction.bench.load.PlatformClient;
import io.lycheejunction.common.http.BlockingHttpClient;
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

/** The platform stand-in and six proxies with one user's sizes, in this process. */
final class Cluster implements AutoCloseable {
  private static final int TARGETS_PER_GROUP = 3;
  private static final long EXECUTE_MS = 1;
  private static final long REPLICA_LAG_MS = 5;
  private static final long HTTP_TIMEOUT_MS = 20_000;
  private static final long START_TIMEOUT_MS = 30_000;
  private static final long POLL_INTERVAL_MS = 100;

  final User user;
  final BlockingHttpClient http;
  final RuntimeClock clock;
  final Standin standin;
  final ProxyFleet fleet;
  private int createdGroups;

  Cluster(User user, BlockingHttpClient http, RuntimeClock clock) {
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

  /** Starts the proxies and waits until all of them are ready. */
  void start() throws InterruptedException {
    PlatformClient platform = new PlatformClient(http, standin.address());
    fleet.vms().forEach(platform::register);
    fleet.start(standin.address(), clock);
    Balancer balancer = new Balancer(http, fleet.addresses());
    long untilMs = clock.monotonicMs() + START_TIMEOUT_MS;
    while (balancer.readyCount() < fleet.vms().size()) {
      if (clock.monotonicMs() > untilMs) {
        throw new IllegalStateException(
            "the proxies did not become ready within " + START_TIMEOUT_MS + " ms");
      }
      clock.sleepMs(POLL_INTERVAL_MS);
      balancer.probe();
    }
  }

  /** Creates a group and a service of the same name and waits until all proxies apply them. */
  PlatformClient.Group createGroup(String durability) {
    String name = "b" + ++createdGroups;
    GroupSettings settings =
        new GroupSettings(
            name,
            TARGETS_PER_GROUP,
            user.slots(),
            user.connections(),
            user.connectMs(),
            EXECUTE_MS,
            REPLICA_LAG_MS);
    String body = post(standin.address(), "/groups", Json.write(settings));
    PlatformClient.Group group = read(body, PlatformClient.Group.class);
    String targets =
        group.targets().stream().map(Cluster::formatTarget).collect(Collectors.joining(", "));
    executeCommand(
        "create group %s targets (%s) slots %d connections %d"
            .formatted(name, targets, group.slots(), group.connections()),
        false);
    executeCommand(
        "create service %s on %s with durability=%s".formatted(name, name, durability), true);
    return group;
  }

  private static String formatTarget(TargetSpec target) {
    return "%s in %s at %s".formatted(target.name(), target.failureDomain(), target.address());
  }

  /** Drops a group and its service from the configuration and removes the VMs of its targets. */
  void dropGroup(PlatformClient.Group group) {
    executeCommand("drop service " + group.name(), false);
    executeCommand("drop group " + group.name(), false);
    for (TargetSpec target : group.targets()) {
      post(standin.address(), "/vms/remove", "{\"name\":\"" + target.name() + "\"}");
    }
  }

  private void executeCommand(String command, boolean awaitRollout) {
    OperatorRequest request =
        new OperatorRequest(command, Optional.empty(), Optional.empty(), false, awaitRollout);
    Vm proxy = fleet.vms().getFirst();
    JsonNode reply =
        read(post(proxy.address(), "/v1/operator", Json.write(request)), JsonNode.class);
    if (reply.path("code").asInt() != ResultCode.DONE.number()) {
      throw new IllegalStateException("operator command failed: " + command + ": " + reply);
    }
  }

  private String post(String address, String path, String body) {
    HttpReply reply = http.send("POST", address, path, body, List.of(), HTTP_TIMEOUT_MS);
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

  @Override
  public void close() {
    fleet.close();
    standin.close();
  }
}
