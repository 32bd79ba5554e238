package io.lycheejunction.proxy.group;

import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.clock.ManualClock;
import io.lycheejunction.core.configuration.Configuration;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.port.PeerTransport;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.TargetConnection;
import io.lycheejunction.core.port.TargetPort;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.port.TargetRequest;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.forward.PeerRoutes;
import io.lycheejunction.standin.model.FaultInjector;
import io.lycheejunction.standin.model.GroupModel;
import io.lycheejunction.standin.model.Links;
import io.lycheejunction.standin.model.ModelLimits;
import io.lycheejunction.standin.model.ModelTargetPort;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** A simulated group in the failure domains a, b and c, with one instance and one proxy in each. */
final class GroupFixture {
  static final String GROUP = "orders";

  private static final long TICK_MS = 50;

  final ManualClock clock = ManualClock.advancing();
  final Links links = new Links(3);
  final List<TargetSpec> targets =
      List.of(
          new TargetSpec("t-a", "a", "127.0.0.1:1"),
          new TargetSpec("t-b", "b", "127.0.0.1:2"),
          new TargetSpec("t-c", "c", "127.0.0.1:3"));
  final GroupModel model = new GroupModel(GROUP, targets, ModelLimits.NONE, links, clock);
  final Set<String> drained = new HashSet<>();
  final Set<String> deadProxies = new HashSet<>();
  final Map<String, GroupManager> proxies = new LinkedHashMap<>();

  private final Map<String, PeerRoutes> routes = new LinkedHashMap<>();
  private final FaultInjector faults;

  GroupFixture() {
    this(FaultInjector.NONE);
  }

  GroupFixture(FaultInjector faults) {
    this.faults = faults;
    for (String domain : List.of("a", "b", "c")) {
      routes.put(domain, new PeerRoutes());
      proxies.put(domain, proxy(domain));
    }
  }

  private GroupManager proxy(String domain) {
    return new GroupManager(
        configuration(),
        port(domain),
        new FakePeers(domain),
        new FakeTransport(domain),
        routes.get(domain),
        clock,
        Fanout.sequential(),
        new SplittableRandom(domain.hashCode()),
        GroupSettings.standard());
  }

  TargetPort port(String domain) {
    return new ModelTargetPort(domain, List.of(model), links, faults, clock);
  }

  private ConfigurationSource configuration() {
    return new ConfigurationSource() {
      @Override
      public Configuration current() {
        return new Configuration(1, Map.of(GROUP, spec()), Map.of());
      }

      @Override
      public void onChange(Consumer<Configuration> listener) {}
    };
  }

  GroupSpec spec() {
    return new GroupSpec(GROUP, targets, 3, 20, drained);
  }

  GroupMonitor monitor(String domain) {
    return proxies.get(domain).monitor();
  }

  /** Ticks every live proxy at a fixed interval of simulated time until the duration has passed. */
  void run(long durationMs) {
    long deadlineMs = clock.monotonicMs() + durationMs;
    while (clock.monotonicMs() < deadlineMs) {
      for (Map.Entry<String, GroupManager> proxy : proxies.entrySet()) {
        if (!deadProxies.contains(proxy.getKey())) {
          proxy.getValue().tick();
        }
      }
      clock.advanceMs(TICK_MS);
    }
  }

  /**
   * Writes to the instance in the given term and returns the commit position, empty if it failed.
   */
  Optional<LogPosition> write(String domain, String target, long term) {
    TargetSpec spec = targets.stream().filter(t -> t.name().equals(target)).findFirst().get();
    Result<TargetConnection> opened = port(domain).openSession(spec, 100);
    if (!(opened instanceof Result.Success(TargetConnection connection))) {
      return Optional.empty();
    }
    TargetRequest request =
        new TargetRequest(
            "1", term, Access.WRITE, "append orders key value", Optional.empty(), 100);
    return connection.execute(request) instanceof TargetReply.Answered answered
        ? Optional.of(answered.position())
        : Optional.empty();
  }

  private static Vm vm(String domain) {
    return new Vm("vm-" + domain, Vm.Kind.ENTRY, domain, "127.0.0.1:9", false);
  }

  private final class FakePeers implements Peers {
    private final String domain;

    FakePeers(String domain) {
      this.domain = domain;
    }

    @Override
    public Vm self() {
      return vm(domain);
    }

    @Override
    public List<Vm> live() {
      List<Vm> live = new ArrayList<>();
      routes.keySet().stream().filter(d -> !deadProxies.contains(d)).forEach(d -> live.add(vm(d)));
      return live;
    }

    @Override
    public Optional<Vm> find(String name) {
      return live().stream().filter(vm -> vm.name().equals(name)).findFirst();
    }

    @Override
    public boolean isLeaving(String target) {
      return false;
    }

    @Override
    public void recordTargetLeaving(String target, boolean leaving) {}
  }

  private final class FakeTransport implements PeerTransport {
    private final String domain;

    FakeTransport(String domain) {
      this.domain = domain;
    }

    @Override
    public <T> Result<T> call(
        Vm peer, String path, Object message, Class<T> replyType, long timeoutMs) {
      String peerDomain = peer.failureDomain();
      if (links.isCut(domain, peerDomain) || deadProxies.contains(peerDomain)) {
        clock.advanceMs(timeoutMs);
        return Result.failure(ResultCode.UNKNOWN_OUTCOME, "no reply");
      }
      clock.advanceMs(2 * links.delayMs(domain, peerDomain));
      String reply = routes.get(peerDomain).handle(path, Json.write(message));
      return Json.read(reply, Envelope.class).flatMap(envelope -> envelope.unwrap(replyType));
    }
  }

  private record Envelope(
      Optional<com.fasterxml.jackson.databind.JsonNode> reply, Optional<Fault> fault) {
    <T> Result<T> unwrap(Class<T> type) {
      return fault.isPresent()
          ? Result.failure(fault.get())
          : Result.success(Json.MAPPER.convertValue(reply.get(), type));
    }
  }
}
