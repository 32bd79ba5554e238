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
import io.lycheejunction.proxy.group.GroupManager;
import io.lycheejunction.proxy.group.GroupSettings;
import io.lycheejunction.proxy.group.VirtualThreadFanout;
import io.lycheejunction.proxy.holder.HolderRouter;
import io.lycheejunction.proxy.holder.HolderSettings;
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
 * The group watcher and the holder of one proxy, which owns the connection pool of one target of
 * each group.
 *
 * @param groups monitors the targets of each group
 * @param holders owns the connection pools of the targets that are assigned to this proxy
 */
record Node(GroupManager groups, HolderRouter holders) {
  private static final List<String> FAILURE_DOMAINS = List.of("a", "b", "c");
  private static final int SLOTS = 5;
  private static final int CONNECTIONS = 55;

  /** A configuration source without changes. */
  private record FixedConfiguration(Configuration current) implements ConfigurationSource {
    @Override
    public void onChange(Consumer<Configuration> listener) {}
  }

  /** A fleet with one proxy in each failure domain, of which the first is this one. */
  private record OneProxyPerDomain(List<Vm> live) implements Peers {
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
    public void recordTargetLeaving(String target, boolean leaving) {}
  }

  /** A transport to which every other proxy is unreachable. */
  private static final class UnreachablePeers implements PeerTransport {
    @Override
    public <T> Result<T> call(
        Vm peer, String path, Object message, Class<T> replyType, long timeoutMs) {
      return Result.failure(ResultCode.PEER_UNREACHABLE, peer.name());
    }
  }

  /** Returns the targets of the group with an index, one in each failure domain. */
  static List<TargetSpec> targets(String group, int index) {
    return FAILURE_DOMAINS.stream()
        .map(
            domain ->
                new TargetSpec(
                    group + "-" + domain,
                    domain,
                    "10.%d.%d.%d:5432"
                        .formatted(FAILURE_DOMAINS.indexOf(domain), index / 250, index % 250)))
        .toList();
  }

  /**
   * Returns whether a target that {@link #targets} created is the primary of its group; the
   * primaries are assigned to the failure domains round-robin.
   */
  static boolean isPrimary(TargetSpec target) {
    String groupIndex = target.name().substring(1, target.name().indexOf('-'));
    int domainIndex = Integer.parseInt(groupIndex) % FAILURE_DOMAINS.size();
    return target.failureDomain().equals(FAILURE_DOMAINS.get(domainIndex));
  }

  /** Returns a node that is not running and is configured with a number of groups. */
  static Node of(int groupCount, StaticTargets port, RuntimeClock clock) {
    Map<String, GroupSpec> specs = new HashMap<>();
    for (int i = 0; i < groupCount; i++) {
      String name = "g" + i;
      specs.put(name, new GroupSpec(name, targets(name, i), SLOTS, CONNECTIONS, Set.of()));
    }
    ConfigurationSource source = new FixedConfiguration(new Configuration(1, specs, Map.of()));
    Peers peers =
        new OneProxyPerDomain(
            FAILURE_DOMAINS.stream()
                .map(
                    domain -> new Vm("vm-" + domain, Vm.Kind.ENTRY, domain, "10.9.9.9:7101", false))
                .toList());
    GroupManager groups =
        new GroupManager(
            source,
            port,
            peers,
            new UnreachablePeers(),
            new PeerRoutes(),
            clock,
            new VirtualThreadFanout(),
            new Random(groupCount),
            GroupSettings.standard());
    HolderRouter holders =
        new HolderRouter(
            source,
            peers,
            groups.monitor(),
            port,
            new UnreachablePeers(),
            clock,
            new Random(groupCount),
            new SimpleMeterRegistry(),
            Executors.newVirtualThreadPerTaskExecutor(),
            HolderSettings.defaults());
    return new Node(groups, holders);
  }
}
