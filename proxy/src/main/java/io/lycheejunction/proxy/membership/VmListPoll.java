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

/** Reads the platform's list, and tells the holder of a target at the first sign that it leaves. */
public final class VmListPoll {
  private static final EventLog LOG = EventLog.of(VmListPoll.class);
  private static final long MIN_INTERVAL_MS = 500;
  private static final long ENTRY_BYTES = 130;
  private static final long BUDGET_BYTES_PER_SECOND = 1_500;
  private static final long MS_PER_SECOND = 1_000;

  private final VmDirectory directory;
  private final Membership membership;
  private final Heartbeats heartbeats;
  private final AppliedLog applied;
  private volatile boolean listUp = true;
  private volatile Runnable selfLeaving = () -> {};

  /**
   * Creates the poll.
   *
   * @param directory the platform's list
   * @param membership receives the list
   * @param heartbeats tells holders
   * @param applied the configuration in force
   */
  public VmListPoll(
      VmDirectory directory, Membership membership, Heartbeats heartbeats, AppliedLog applied) {
    this.directory = Objects.requireNonNull(directory, "directory is null");
    this.membership = Objects.requireNonNull(membership, "membership is null");
    this.heartbeats = Objects.requireNonNull(heartbeats, "heartbeats is null");
    this.applied = Objects.requireNonNull(applied, "applied is null");
  }

  /**
   * Returns the mean time between two polls of one proxy, with which the list's bytes stay within a
   * budget; the fleet together reads the list as often at any size.
   *
   * @param proxies the number of proxies
   * @return the interval in milliseconds
   */
  public static long pollIntervalMs(int proxies) {
    return Math.max(
        MIN_INTERVAL_MS, proxies * ENTRY_BYTES * MS_PER_SECOND / BUDGET_BYTES_PER_SECOND);
  }

  /**
   * Sets what is run, once, when the list says that this proxy's own VM is leaving.
   *
   * @param action the action, which must not block
   */
  public void whenSelfLeaving(Runnable action) {
    selfLeaving = Objects.requireNonNull(action, "action is null");
  }

  /** Reads the list once. */
  public void poll() {
    directory.list().fold(this::failed, this::listed);
  }

  private boolean failed(Fault fault) {
    if (listUp) {
      LOG.warn("vm_list_down", "code", fault.code(), "detail", fault.detail());
    }
    listUp = false;
    return false;
  }

  private boolean listed(List<Vm> vms) {
    listUp = true;
    Set<String> before = leaving();
    membership.apply(new MembershipEvent.Listed(vms));
    for (String target : leaving()) {
      if (!before.contains(target)) {
        LOG.info("target_leaving", "target", target, "sign", "list");
        tellHolder(target);
      }
    }
    if (vms.stream().anyMatch(this::isSelfLeaving)) {
      Runnable action = selfLeaving;
      selfLeaving = () -> {};
      action.run();
    }
    return true;
  }

  private boolean isSelfLeaving(Vm vm) {
    return vm.leaving() && vm.name().equals(membership.self().name());
  }

  private Set<String> leaving() {
    return applied.current().groups().values().stream()
        .flatMap(group -> group.targets().stream())
        .map(TargetSpec::name)
        .filter(membership::isLeaving)
        .collect(Collectors.toSet());
  }

  /**
   * Tells the proxy that holds a target's pool what this proxy knows.
   *
   * @param target the name of the target
   */
  public void tellHolder(String target) {
    applied
        .current()
        .groupWith(target)
        .flatMap(group -> group.target(target))
        .flatMap(spec -> HolderChoice.holderOf(spec, membership.live()))
        .filter(holder -> !holder.name().equals(membership.self().name()))
        .ifPresent(heartbeats::exchange);
  }
}
