package io.lycheejunction.proxy.membership;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.membership.MembershipEvent;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.port.VmDirectory;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.routing.HolderChoice;
import io.lycheejunction.proxy.configuration.AppliedLog;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Polls the platform's list of VMs, and notifies the holder of a target when the list first shows
 * the target as leaving.
 */
public final class VmListPoller {
  private static final EventLog LOG = EventLog.of(VmListPoller.class);
  private static final long MIN_INTERVAL_MS = 500;
  private static final long LIST_ENTRY_BYTES = 130;
  private static final long BUDGET_BYTES_PER_SECOND = 1_500;
  private static final long MS_PER_SECOND = 1_000;

  private final VmDirectory directory;
  private final Membership membership;
  private final HeartbeatExchange heartbeats;
  private final AppliedLog applied;
  private volatile boolean listAvailable = true;
  private volatile Runnable selfLeavingAction = () -> {};

  /**
   * Creates the poller.
   *
   * @param directory the source of the platform's list
   * @param membership the membership, updated from the list
   * @param heartbeats sends the notifications to holders
   * @param applied the configuration in force
   */
  public VmListPoller(
      VmDirectory directory,
      Membership membership,
      HeartbeatExchange heartbeats,
      AppliedLog applied) {
    this.directory = Objects.requireNonNull(directory, "directory is null");
    this.membership = Objects.requireNonNull(membership, "membership is null");
    this.heartbeats = Objects.requireNonNull(heartbeats, "heartbeats is null");
    this.applied = Objects.requireNonNull(applied, "applied is null");
  }

  /**
   * Returns the mean interval between two polls of one proxy. It grows with the fleet, so that the
   * list's bytes stay within a budget; the poll rate of the whole fleet then does not depend on its
   * size.
   *
   * @param proxies the number of proxies in the fleet
   * @return the interval in milliseconds
   */
  public static long pollIntervalMs(int proxies) {
    return Math.max(
        MIN_INTERVAL_MS, proxies * LIST_ENTRY_BYTES * MS_PER_SECOND / BUDGET_BYTES_PER_SECOND);
  }

  /**
   * Sets the action to run once when the list shows this proxy's own VM as leaving.
   *
   * @param action the action, which must not block
   */
  public void onSelfLeaving(Runnable action) {
    selfLeavingAction = Objects.requireNonNull(action, "action is null");
  }

  /** Reads the list once and applies it. */
  public void poll() {
    directory.list().fold(this::handleFailure, this::handleList);
  }

  private boolean handleFailure(Fault fault) {
    if (listAvailable) {
      LOG.warn("vm_list_down", "code", fault.code(), "detail", fault.detail());
    }
    listAvailable = false;
    return false;
  }

  private boolean handleList(List<Vm> vms) {
    listAvailable = true;
    Set<String> leavingBefore = leavingTargets();
    membership.apply(new MembershipEvent.VmListRead(vms));
    for (String target : leavingTargets()) {
      if (!leavingBefore.contains(target)) {
        LOG.info("target_leaving", "target", target, "sign", "list");
        notifyHolder(target);
      }
    }
    if (vms.stream().anyMatch(this::isSelfLeaving)) {
      Runnable action = selfLeavingAction;
      selfLeavingAction = () -> {};
      action.run();
    }
    return true;
  }

  private boolean isSelfLeaving(Vm vm) {
    return vm.leaving() && vm.name().equals(membership.self().name());
  }

  private Set<String> leavingTargets() {
    return applied.current().groups().values().stream()
        .flatMap(group -> group.targets().stream())
        .map(TargetSpec::name)
        .filter(membership::isLeaving)
        .collect(Collectors.toSet());
  }

  /**
   * Exchanges a heartbeat with the proxy that holds a target's connection pool, unless it is this
   * proxy, so that it learns which targets are leaving.
   *
   * @param target the name of the target
   */
  public void notifyHolder(String target) {
    applied
        .current()
        .groupOfTarget(target)
        .flatMap(group -> group.target(target))
        .flatMap(spec -> HolderChoice.holderOf(spec, membership.live()))
        .filter(holder -> !holder.name().equals(membership.self().name()))
        .ifPresent(heartbeats::exchange);
  }
}
