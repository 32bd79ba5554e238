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

/** Exchanges views of groups with other proxies: on a promotion, and when a caller waits. */
final class GroupViews {
  /** The path of the messages. */
  static final String PATH = "/peer/group-view";

  private static final int MAX_RECEIVERS = 8;
  private static final long ASK_INTERVAL_MS = 100;
  private static final long PEER_TIMEOUT_MS = 100;

  private final GroupStates states;
  private final Peers peers;
  private final PeerTransport transport;
  private final RuntimeClock clock;
  private final Fanout fanout;
  private final Map<String, Long> lastAskMs = new ConcurrentHashMap<>();
  private final Map<String, Integer> asks = new ConcurrentHashMap<>();

  GroupViews(
      GroupStates states, Peers peers, PeerTransport transport, RuntimeClock clock, Fanout fanout) {
    this.states = Objects.requireNonNull(states, "states is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.transport = Objects.requireNonNull(transport, "transport is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.fanout = Objects.requireNonNull(fanout, "fanout is null");
  }

  /**
   * Adds the handler of views.
   *
   * @param routes receives the handler
   */
  void register(PeerRoutes routes) {
    routes.add(PATH, GroupView.class, view -> Result.success(merge(view)));
  }

  private GroupView merge(GroupView view) {
    return states.of(view.group()).learn(view);
  }

  /**
   * Sends the view of a group to the proxies that hold its targets and to a bounded number of
   * others, without waiting.
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
    Map<String, Vm> chosen = new LinkedHashMap<>();
    holders(spec).forEach(vm -> chosen.put(vm.name(), vm));
    for (Vm vm : peers.live()) {
      if (chosen.size() >= MAX_RECEIVERS) {
        break;
      }
      chosen.putIfAbsent(vm.name(), vm);
    }
    chosen.remove(peers.self().name());
    return List.copyOf(chosen.values());
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
   * Asks one of the proxies that watch a group for its view, each in turn, unless one was asked a
   * short time ago.
   *
   * @param spec the group
   */
  void ask(GroupSpec spec) {
    if (!isDue(spec.name())) {
      return;
    }
    List<Vm> others =
        holders(spec).stream().filter(vm -> !vm.name().equals(peers.self().name())).toList();
    if (others.isEmpty()) {
      return;
    }
    int turn = asks.merge(spec.name(), 1, Integer::sum);
    send(others.get(Math.floorMod(turn, others.size())), states.of(spec.name()).view());
  }

  private boolean isDue(String group) {
    long nowMs = clock.monotonicMs();
    boolean[] due = {false};
    lastAskMs.compute(
        group,
        (name, last) -> {
          due[0] = last == null || nowMs - last >= ASK_INTERVAL_MS;
          return due[0] ? nowMs : last;
        });
    return due[0];
  }
}
