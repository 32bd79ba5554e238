package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.term.LogPosition;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;

/** Orders the targets that a read is tried on. */
final class ReadTargets {
  private final Peers peers;

  /**
   * Creates the order.
   *
   * @param peers knows this proxy's failure domain and the leaving targets
   */
  ReadTargets(Peers peers) {
    this.peers = Objects.requireNonNull(peers, "peers is null");
  }

  /**
   * Returns the targets of a read, the best one first and the primary last.
   *
   * @param route the service and its group
   * @param view what is known of the group
   * @param floor the position that the data must include
   * @param aged true if the read accepts data of some age
   * @return the names of the targets
   */
  List<String> order(Route route, GroupView view, LogPosition floor, boolean aged) {
    String domain = peers.self().failureDomain();
    List<TargetSpec> usable = new ArrayList<>();
    for (TargetSpec target : route.group().targets()) {
      if (!route.group().drained().contains(target.name()) && !peers.isLeaving(target.name())) {
        usable.add(target);
      }
    }
    usable.sort(
        Comparator.comparing((TargetSpec t) -> isPrimary(view, t))
            .thenComparing(t -> !t.failureDomain().equals(domain)));
    return usable.stream().map(TargetSpec::name).toList();
  }

  private static boolean isPrimary(GroupView view, TargetSpec target) {
    return view.primary().filter(target.name()::equals).isPresent();
  }
}
