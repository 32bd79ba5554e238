package io.lycheejunction.bench.slopes;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.Configuration;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.PeerTransport;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.proxy.forward.PeerRoutes;
import io.lycheejunction.proxy.group.GroupSettings;
import io.lycheejunction.proxy.group.Groups;
import io.lycheejunction.proxy.group.VirtualThreadFanout;
import io.lycheejunction.proxy.holder.HolderSettings;
import io.lycheejunction.proxy.holder.PooledHolders;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

/**
 * The group watcher and the holder of one proxy that holds one target of each of its groups.
 *
 * @param groups the group watcher
 * @param holders the holder
 */
record Node(Groups groups, PooledHolders holders) {
  private static final List<String> DOMAINS = List.of("a", "b", "c");
  private static final int SLOTS = 5;
  private static final int CONNECTIONS = 55;

  /** A configuration that never changes. */
  private record Fixed(Configuration current) implements ConfigurationSource {
    @Override
    public void onChange(Consumer<Configuration> listener) {}
  }

  /** One proxy in each failure domain. */
  private record OneEach(List<Vm> live) implements Peers {
    @Override
    public Vm self() {
      return live.getFirst();
    }

    @Override
    public Optional<Vm> find(String name) {
      return live.stream().filter(vm -> vm.name().equals(name)).findFirst();
    }

    @Override
    public boolean isLeaving(String target) {
      return false;
    }

    @Override
    public void targetSays(String target, boolean leaving) {}
  }

  /** Other proxies that cannot be reached. */
  private static final class Silence implements PeerTransport {
    @Override
    public <T> Result<T> call(
        Vm peer, String path, Object message, Class<T> replyType, long timeoutMs) {
      return Result.failure(ResultCode.PEER_UNREACHABLE, peer.name());
    }
  }

  /** Returns the targets of a group, one in each failure domain. */
  static List<TargetSpec> targets(String group, int number) {
    return DOMAINS.stream()
        .map(
            domain ->
                new TargetSpec(
                    group + "-" + domain,
                    domain,
                    "10.%d.%d.%d:5432"
                        .formatted(DOMAINS.indexOf(domain), number / 250, number % 250)))
        .toList();
  }

  /** Returns whether a target of {@link #targets} is the primary of its group. */
  static boolean isPrimary(TargetSpec target) {
    String number = target.name().substring(1, target.name().indexOf('-'));
    int domain = Integer.parseInt(number) % DOMAINS.size();
    return target.failureDomain().equals(DOMAINS.get(domain));
  }

  static Node of(int size, StillTargets port, RuntimeClock clock) {
    Map<String, GroupSpec> specs = new HashMap<>();
    for (int i = 0; i < size; i++) {
      String name = "g" + i;
      specs.put(name, new GroupSpec(name, targets(name, i), SLOTS, CONNECTIONS, Set.of()));
    }
    ConfigurationSource source = new Fixed(new Configuration(1, specs, Map.of()));
    Peers peers =
        new OneEach(
            DOMAINS.stream()
                .map(d -> new Vm("vm-" + d, Vm.Kind.ENTRY, d, "10.9.9.9:7101", false))
                .toList());
    Groups groups =
        new Groups(
            source,
            port,
            peers,
            new Silence(),
            new PeerRoutes(),
            clock,
            new VirtualThreadFanout(),
            new Random(size),
            GroupSettings.standard());
    PooledHolders holders =
        new PooledHolders(
            source,
            peers,
            groups.watch(),
            port,
            new Silence(),
            clock,
            new Random(size),
            new SimpleMeterRegistry(),
            Executors.newVirtualThreadPerTaskExecutor(),
            HolderSettings.defaults());
    return new Node(groups, holders);
  }
}
