package io.lycheejunction.proxy.group;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.port.PeerTransport;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.routing.HolderChoice;
import io.lycheejunction.proxy.forward.PeerRoutes;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Exchanges views of groups with other proxies: after a promotion, and while a caller waits for a
 * higher term.
 */
final class GroupViewExchange {
  /** The path on which views are exchanged. */
  static final String PATH = "/peer/group-view";

  private static final int MAX_RECEIVERS = 8;
  private static final long MIN_REQUEST_INTERVAL_MS = 100;
  private static final long PEER_TIMEOUT_MS = 100;

  private final GroupStates states;
  private final Peers peers;
  private final PeerTransport transport;
  private final RuntimeClock clock;
  private final Fanout fanout;
  private final Map<String, Long> lastRequestMs = new ConcurrentHashMap<>();
  private final Map<String, Integer> requestCounts = new ConcurrentHashMap<>();

  GroupViewExchange(
      GroupStates states, Peers peers, PeerTransport transport, RuntimeClock clock, Fanout fanout) {
    this.states = Objects.requireNonNull(states, "states is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.transport = Objects.requireNonNull(transport, "transport is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.fanout = Objects.requireNonNull(fanout, "fanout is null");
  }

  /**
   * Registers the handler for views of other proxies.
   *
   * @param routes the routes to add the handler to
   */
  void register(PeerRoutes routes) {
    routes.add(PATH, GroupView.class, view -> Result.success(merge(view)));
  }

  private GroupView merge(GroupView view) {
    return states.of(view.group()).mergeView(view);
  }

  /**
   * Sends the view of a group to the proxies that hold its targets and, up to a limit, to others.
   * Does not wait for their answers.
   *
   * @param spec the group
   */
  void publish(GroupSpec spec) {
    GroupView view = states.of(spec.name()).view();
    for (Vm peer : receivers(spec)) {
      fanout.start("publish-" + spec.name(), () -> send(peer, view));
    }
  }

  private List<Vm> receivers(GroupSpec spec) {
    Map<String, Vm> receivers = new LinkedHashMap<>();
    holders(spec).forEach(vm -> receivers.put(vm.name(), vm));
    for (Vm vm : peers.live()) {
      if (receivers.size() >= MAX_RECEIVERS) {
        break;
      }
      receivers.putIfAbsent(vm.name(), vm);
    }
    receivers.remove(peers.self().name());
    return List.copyOf(receivers.values());
  }

  private List<Vm> holders(GroupSpec spec) {
    List<Vm> live = peers.live();
    List<Vm> holders = new ArrayList<>();
    for (TargetSpec target : spec.targets()) {
      HolderChoice.holderOf(target, live)
          .filter(vm -> !holders.contains(vm))
          .ifPresent(holders::add);
    }
    return holders;
  }

  private void send(Vm peer, GroupView view) {
    transport.call(peer, PATH, view, GroupView.class, PEER_TIMEOUT_MS).map(this::merge);
  }

  /**
   * Exchanges views with one of the proxies that hold targets of the group, in round-robin order.
   * Does nothing if the last exchange was less than {@link #MIN_REQUEST_INTERVAL_MS} ago.
   *
   * @param spec the group
   */
  void requestView(GroupSpec spec) {
    if (!tryStartRequest(spec.name())) {
      return;
    }
    List<Vm> others =
        holders(spec).stream().filter(vm -> !vm.name().equals(peers.self().name())).toList();
    if (others.isEmpty()) {
      return;
    }
    int requestCount = requestCounts.merge(spec.name(), 1, Integer::sum);
    send(others.get(Math.floorMod(requestCount, others.size())), states.of(spec.name()).view());
  }

  private boolean tryStartRequest(String group) {
    long nowMs = clock.monotonicMs();
    boolean[] due = {false};
    lastRequestMs.compute(
        group,
        (name, last) -> {
          due[0] = last == null || nowMs - last >= MIN_REQUEST_INTERVAL_MS;
          return due[0] ? nowMs : last;
        });
    return due[0];
  }
}
