package io.lycheejunction.proxy.holder;

import com.fasterxml.jackson.databind.JsonNode;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.clock.ManualClock;
import io.lycheejunction.core.configuration.Configuration;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.configuration.CutOffReads;
import io.lycheejunction.core.configuration.Durability;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.port.PeerTransport;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.TargetPort;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.forward.PeerRoutes;
import io.lycheejunction.proxy.group.Fanout;
import io.lycheejunction.proxy.group.GroupManager;
import io.lycheejunction.proxy.group.GroupSettings;
import io.lycheejunction.standin.model.FaultInjector;
import io.lycheejunction.standin.model.GroupModel;
import io.lycheejunction.standin.model.Links;
import io.lycheejunction.standin.model.ModelLimits;
import io.lycheejunction.standin.model.ModelTargetPort;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** One proxy with a group monitor in each of three failure domains, over a simulated group. */
final class ModelFixture {
  static final String GROUP = "orders";
  private static final List<String> DOMAINS = List.of("a", "b", "c");
  private static final long TICK_MS = 10;

  final ManualClock clock = ManualClock.advancing();
  final Links links = new Links(3);
  final List<TargetSpec> targets =
      List.of(
          new TargetSpec("t-a", "a", "127.0.0.1:1"),
          new TargetSpec("t-b", "b", "127.0.0.1:2"),
          new TargetSpec("t-c", "c", "127.0.0.1:3"));
  final GroupModel model = new GroupModel(GROUP, targets, ModelLimits.NONE, links, clock);
  final Map<String, GroupManager> groups = new LinkedHashMap<>();
  final Map<String, HolderRouter> holders = new LinkedHashMap<>();
  private final Map<String, PeerRoutes> routes = new LinkedHashMap<>();

  ModelFixture() {
    for (String domain : DOMAINS) {
      routes.put(domain, new PeerRoutes());
      TargetPort port =
          new ModelTargetPort(domain, List.of(model), links, FaultInjector.NONE, clock);
      groups.put(domain, groups(domain, port));
      holders.put(domain, holders(domain, port));
    }
  }

  private GroupManager groups(String domain, TargetPort port) {
    return new GroupManager(
        configuration(),
        port,
        new DomainPeers(domain),
        new DomainTransport(domain),
        routes.get(domain),
        clock,
        Fanout.sequential(),
        new SplittableRandom(domain.hashCode()),
        GroupSettings.standard());
  }

  private HolderRouter holders(String domain, TargetPort port) {
    HolderRouter holder =
        new HolderRouter(
            configuration(),
            new DomainPeers(domain),
            groups.get(domain).monitor(),
            port,
            new DomainTransport(domain),
            clock,
            new Random(domain.hashCode()),
            new SimpleMeterRegistry(),
            Runnable::run,
            HolderSettings.defaults());
    holder.register(routes.get(domain));
    return holder;
  }

  private ConfigurationSource configuration() {
    GroupSpec spec = new GroupSpec(GROUP, targets, 3, 20, Set.of());
    return new ConfigurationSource() {
      @Override
      public Configuration current() {
        return new Configuration(1, Map.of(GROUP, spec), Map.of());
      }

      @Override
      public void onChange(Consumer<Configuration> listener) {}
    };
  }

  GroupView view(String domain) {
    return groups.get(domain).monitor().view(GROUP);
  }

  void isolate(String domain) {
    links.isolate(domain, DOMAINS.stream().filter(other -> !other.equals(domain)).toList());
  }

  /** Runs the periodic work of every proxy every 10 ms until the given time has passed. */
  void runFor(long durationMs) {
    long untilMs = clock.monotonicMs() + durationMs;
    while (clock.monotonicMs() < untilMs) {
      groups.values().forEach(GroupManager::tick);
      holders.values().forEach(HolderRouter::rebalance);
      clock.advanceMs(TICK_MS);
    }
  }

  /** Returns the result of a write through the domain's proxy, to the primary and term it knows. */
  Result<HolderAnswer> write(String domain, String key, long remainingMs) {
    return holders
        .get(domain)
        .execute(
            statement(
                domain,
                view(domain).primary().orElse("none"),
                Access.WRITE,
                LogPosition.ORIGIN,
                Optional.of(key),
                remainingMs));
  }

  /** Returns the result of a read on the target through the domain's proxy, at most 2 s old. */
  Result<HolderAnswer> read(String domain, String target, LogPosition floor) {
    return holders
        .get(domain)
        .execute(statement(domain, target, Access.READ, floor, Optional.empty(), 200));
  }

  private HolderStatement statement(
      String domain,
      String target,
      Access access,
      LogPosition floor,
      Optional<String> key,
      long remainingMs) {
    return new HolderStatement(
        "clerks",
        GROUP,
        target,
        view(domain).term(),
        access,
        access == Access.WRITE ? "append book page " + key.orElseThrow() : "get book page",
        key,
        floor,
        access == Access.READ ? Optional.of(2_000L) : Optional.empty(),
        Durability.MAJORITY,
        CutOffReads.REFUSE,
        1,
        "vm-" + domain,
        remainingMs);
  }

  private static Vm vm(String domain) {
    return new Vm("vm-" + domain, Vm.Kind.ENTRY, domain, "127.0.0.1:9", false);
  }

  private record DomainPeers(String domain) implements Peers {
    @Override
    public Vm self() {
      return vm(domain);
    }

    @Override
    public List<Vm> live() {
      return DOMAINS.stream().map(ModelFixture::vm).toList();
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

  private final class DomainTransport implements PeerTransport {
    private final String domain;

    DomainTransport(String domain) {
      this.domain = domain;
    }

    @Override
    public <T> Result<T> call(
        Vm peer, String path, Object message, Class<T> replyType, long timeoutMs) {
      String to = peer.failureDomain();
      if (links.isCut(domain, to)) {
        clock.advanceMs(timeoutMs);
        return Result.failure(ResultCode.PEER_UNREACHABLE, "cut");
      }
      clock.advanceMs(2 * links.delayMs(domain, to));
      JsonNode envelope =
          Json.read(routes.get(to).handle(path, Json.write(message)), JsonNode.class)
              .getOrElse(null);
      JsonNode fault = envelope.get("fault");
      return fault != null && !fault.isNull()
          ? Result.failure(Json.MAPPER.convertValue(fault, Fault.class))
          : Result.success(Json.MAPPER.convertValue(envelope.get("reply"), replyType));
    }
  }
}
