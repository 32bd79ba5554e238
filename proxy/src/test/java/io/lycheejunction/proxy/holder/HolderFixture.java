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
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.port.PeerTransport;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.forward.PeerRoutes;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Two proxies, vm1 in failure domain d1 and vm2 in d2, and a group with targets t1 in d1, t2 and t3
 * in d2.
 */
final class HolderFixture {
  static final int SLOTS = 2;
  static final int CONNECTIONS = 6;

  final ManualClock clock = ManualClock.advancing();
  final FakeTargets targets = new FakeTargets();
  final FakeGroupMonitor watch = new FakeGroupMonitor();
  final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  final List<Vm> liveForHolder1 = new ArrayList<>(List.of(vm("vm1", "d1"), vm("vm2", "d2")));
  final Set<String> leavingTargets = new HashSet<>();
  final Map<String, PeerRoutes> routes = new HashMap<>();
  final HolderRouter holder1 = newHolder("vm1", liveForHolder1);
  final List<Vm> liveForHolder2 = new ArrayList<>(liveForHolder1);
  final HolderRouter holder2 = newHolder("vm2", liveForHolder2);
  Fault transportFault = null;

  HolderFixture() {
    targets.positions.put("t1", new LogPosition(1, 10));
    targets.positions.put("t2", new LogPosition(1, 10));
  }

  static Vm vm(String name, String domain) {
    return new Vm(name, Vm.Kind.ENTRY, domain, "127.0.0.1:1", false);
  }

  private HolderRouter newHolder(String name, List<Vm> liveVms) {
    GroupSpec group =
        new GroupSpec(
            "g",
            List.of(
                new TargetSpec("t1", "d1", "127.0.0.1:2"),
                new TargetSpec("t2", "d2", "127.0.0.1:3"),
                new TargetSpec("t3", "d2", "127.0.0.1:4")),
            SLOTS,
            CONNECTIONS,
            Set.of());
    Configuration configuration = new Configuration(1, Map.of("g", group), Map.of());
    HolderRouter holder =
        new HolderRouter(
            source(configuration),
            new FixedPeers(name, liveVms),
            watch,
            targets,
            new Loopback(),
            clock,
            new Random(1),
            name.equals("vm1") ? registry : new SimpleMeterRegistry(),
            Runnable::run,
            HolderSettings.defaults());
    PeerRoutes ownRoutes = new PeerRoutes();
    holder.register(ownRoutes);
    routes.put(name, ownRoutes);
    return holder;
  }

  private static ConfigurationSource source(Configuration configuration) {
    return new ConfigurationSource() {
      @Override
      public Configuration current() {
        return configuration;
      }

      @Override
      public void onChange(Consumer<Configuration> listener) {
        listener.accept(configuration);
      }
    };
  }

  static HolderStatement write(String target) {
    return statement(target, Access.WRITE, LogPosition.ORIGIN, Optional.empty());
  }

  static HolderStatement read(String target, LogPosition floor, Optional<Long> maxAgeMs) {
    return statement(target, Access.READ, floor, maxAgeMs);
  }

  private static HolderStatement statement(
      String target, Access access, LogPosition floor, Optional<Long> maxAgeMs) {
    return new HolderStatement(
        "orders",
        "g",
        target,
        1,
        access,
        access == Access.WRITE ? "w" : "r",
        Optional.of("key"),
        floor,
        maxAgeMs,
        Durability.MAJORITY,
        CutOffReads.REFUSE,
        1,
        "vm1",
        1_000);
  }

  static HolderStatement with(
      HolderStatement statement, CutOffReads cutOffReads, Durability durability) {
    return new HolderStatement(
        statement.service(),
        statement.group(),
        statement.target(),
        statement.term(),
        statement.access(),
        statement.statement(),
        statement.key(),
        statement.floor(),
        statement.maxAgeMs(),
        durability,
        cutOffReads,
        statement.weight(),
        statement.entryVm(),
        statement.remainingMs());
  }

  static BeginRequest start() {
    return new BeginRequest("orders", "g", "t1", 1, Durability.MAJORITY, 1, "vm1", 5_000, 1_000);
  }

  static TransactionStep step(TransactionId id, TransactionStep.Kind kind) {
    return new TransactionStep(
        id.id(),
        "orders",
        new TransactionStep.Action(kind, Access.WRITE, "s", Optional.of("key")),
        1_000);
  }

  static Optional<ResultCode> code(Result<?> result) {
    return result.fold(fault -> Optional.of(fault.code()), value -> Optional.empty());
  }

  static <T> T value(Result<T> result) {
    return result.fold(
        fault -> {
          throw new AssertionError(fault);
        },
        value -> value);
  }

  private final class FixedPeers implements Peers {
    private final String self;
    private final List<Vm> liveVms;

    private FixedPeers(String self, List<Vm> liveVms) {
      this.self = self;
      this.liveVms = liveVms;
    }

    @Override
    public Vm self() {
      return vm(self, self.equals("vm1") ? "d1" : "d2");
    }

    @Override
    public List<Vm> live() {
      return List.copyOf(liveVms);
    }

    @Override
    public Optional<Vm> find(String name) {
      return live().stream().filter(vm -> vm.name().equals(name)).findFirst();
    }

    @Override
    public boolean isLeaving(String target) {
      return leavingTargets.contains(target);
    }

    @Override
    public void recordTargetLeaving(String target, boolean isLeaving) {}
  }

  /** Calls the other proxy's handlers directly, with messages serialized as JSON. */
  private final class Loopback implements PeerTransport {
    @Override
    public <T> Result<T> call(
        Vm peer, String path, Object message, Class<T> replyType, long timeoutMs) {
      if (transportFault != null) {
        return Result.failure(transportFault);
      }
      String reply = routes.get(peer.name()).handle(path, Json.write(message));
      JsonNode envelope = Json.read(reply, JsonNode.class).getOrElse(null);
      JsonNode fault = envelope.get("fault");
      return fault != null && !fault.isNull()
          ? Result.failure(Json.MAPPER.convertValue(fault, Fault.class))
          : Result.success(Json.MAPPER.convertValue(envelope.get("reply"), replyType));
    }
  }
}
