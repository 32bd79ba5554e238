package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.holder.HolderOrders;
import io.lycheejunction.gateway.holder.HolderTargets;
import io.lycheejunction.gateway.lease.PrimaryUse;
import io.lycheejunction.gateway.route.ReadRule;
import io.lycheejunction.gateway.route.Route;
import io.lycheejunction.gateway.target.TargetHandle;
import io.lycheejunction.gateway.target.Targets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** Selects the target of a statement and the log position that the target must have reached. */
public sealed interface TargetSelector {

  /**
   * Returns the floor of a read: the log position that its target must have reached.
   *
   * @param route the route of the read
   * @param sessionCommit the log position of the latest commit of its session
   * @param nowMs the present time, in milliseconds
   * @return the floor; empty if only a target that proves to be the primary can serve the read
   */
  Optional<LogPosition> floor(Route route, LogPosition sessionCommit, long nowMs);

  /**
   * Returns the target to send a statement to.
   *
   * @param route the route of the statement
   * @param floor the log position that the target must have reached; empty if the statement needs
   *     the primary
   * @param tried the identifiers of the targets to exclude
   * @param nowMs the present time, in milliseconds
   * @return the target, or empty if none can be used
   */
  Optional<TargetHandle> choose(
      Route route, Optional<LogPosition> floor, Set<String> tried, long nowMs);

  /**
   * Returns whether a selected target may be used now. It may not if its floor is empty and this VM
   * may not use the primary, or not any more.
   *
   * @param target the target
   * @param floor the log position that it must have reached; empty if it is used as primary
   * @param nowMs the present time, in milliseconds
   * @return true if statements may be sent to it and its answers passed on
   */
  boolean isUsable(TargetHandle target, Optional<LogPosition> floor, long nowMs);

  /**
   * Returns the statement that begins a transaction.
   *
   * @param readOnly true if the caller's transaction is read-only
   * @param floor the log position that the target must have reached; empty if the transaction needs
   *     the primary
   * @return the begin statement
   */
  CallerStatement.Begin begin(boolean readOnly, Optional<LogPosition> floor);

  /**
   * Returns a statement as it is sent to a target.
   *
   * @param request the statement
   * @param remainingMs the time until its time limit, in milliseconds
   * @return the statement, with the time limit that applies to the target
   */
  StatementRequest forTarget(StatementRequest request, long remainingMs);

  /**
   * Returns the maximum number of targets on which one statement is tried.
   *
   * @return the number of tries, including the first
   */
  int maxTries();

  /**
   * Returns whether a statement that has not run is retried on another target after a refusal.
   *
   * @param fault the refusal
   * @return true if another target may accept the statement
   */
  boolean isRetriedAfter(Fault fault);

  /**
   * Returns whether there is any target to select from.
   *
   * @return true if so
   */
  boolean hasTargets();

  /**
   * Returns whether a statement that waits too long for a connection is retried on another target.
   *
   * @return true if another target can serve it equally well
   */
  boolean retriesUnsentElsewhere();

  /**
   * Returns the selector for the next try of a statement, after a target that this one has selected
   * did not run it.
   *
   * @return the selector, which may be this one
   */
  TargetSelector afterRefusal();

  /**
   * Selects among the targets of a service.
   *
   * @param targets the targets
   * @param positions the proven positions
   * @param readSelector selects the targets of reads
   * @param primaryUse whether this VM may use a primary
   */
  record Direct(
      Targets targets,
      ServicePositions positions,
      LeastCostSelector readSelector,
      PrimaryUse primaryUse)
      implements TargetSelector {
    private static final int MAX_TRIES = 4;

    @Override
    public Optional<LogPosition> floor(Route route, LogPosition sessionCommit, long nowMs) {
      return positions.floor(route.service(), route.readRule(), sessionCommit, nowMs);
    }

    @Override
    public Optional<TargetHandle> choose(
        Route route, Optional<LogPosition> floor, Set<String> tried, long nowMs) {
      if (floor.isPresent()) {
        return readSelector.choose(route.service(), floor.get(), tried, nowMs);
      }
      return targets
          .primaryOf(route.service())
          .filter(handle -> !handle.isGone(nowMs))
          .filter(handle -> isUsable(handle, floor, nowMs))
          .filter(handle -> !tried.contains(handle.target().id()));
    }

    @Override
    public boolean isUsable(TargetHandle target, Optional<LogPosition> floor, long nowMs) {
      return floor.isPresent()
          || primaryUse.isAllowed(target.target().service(), target.target().id(), nowMs);
    }

    @Override
    public CallerStatement.Begin begin(boolean readOnly, Optional<LogPosition> floor) {
      return new CallerStatement.Begin(floor.isPresent());
    }

    @Override
    public StatementRequest forTarget(StatementRequest request, long remainingMs) {
      return request;
    }

    @Override
    public int maxTries() {
      return MAX_TRIES;
    }

    @Override
    public boolean isRetriedAfter(Fault fault) {
      return true;
    }

    @Override
    public boolean hasTargets() {
      return !targets.isEmpty();
    }

    @Override
    public boolean retriesUnsentElsewhere() {
      return false;
    }

    @Override
    public TargetSelector afterRefusal() {
      return this;
    }
  }

  /**
   * Selects among the holders, which are the VMs that hold connections to targets; the holder then
   * selects the target.
   *
   * @param holders the holders, as targets of each service
   * @param holderSelector selects the holder of each statement
   * @param vm the name of this VM
   * @param orders the orders in which organisations use the holders
   */
  record Forwarding(
      Targets holders, LeastCostSelector holderSelector, String vm, HolderOrders orders)
      implements TargetSelector {
    private static final int MAX_TRIES = 3;

    /** The time that the reply of a holder takes, in milliseconds. */
    private static final long REPLY_MARGIN_MS = 20;

    /**
     * Creates a selector that keeps no orders of holders yet.
     *
     * @param holders the holders, as targets of each service
     * @param holderSelector selects the holder of each statement
     * @param vm the name of this VM
     */
    public Forwarding(Targets holders, LeastCostSelector holderSelector, String vm) {
      this(holders, holderSelector, vm, new HolderOrders());
    }

    @Override
    public Optional<LogPosition> floor(Route route, LogPosition sessionCommit, long nowMs) {
      boolean ownWrites = route.readRule() instanceof ReadRule.OwnWrites;
      return Optional.of(ownWrites ? sessionCommit : LogPosition.ORIGIN);
    }

    @Override
    public Optional<TargetHandle> choose(
        Route route, Optional<LogPosition> floor, Set<String> tried, long nowMs) {
      Set<String> excluded = new HashSet<>(tried);
      for (TargetHandle holder : holders.of(route.service())) {
        if (holder.isUnreachable(nowMs)) {
          excluded.add(holder.target().id());
        }
      }
      return holderSelector.choose(route.service(), LogPosition.ORIGIN, excluded, nowMs);
    }

    /** The holder decides whether it may use the primary. */
    @Override
    public boolean isUsable(TargetHandle target, Optional<LogPosition> floor, long nowMs) {
      return true;
    }

    @Override
    public CallerStatement.Begin begin(boolean readOnly, Optional<LogPosition> floor) {
      return new CallerStatement.Begin(readOnly);
    }

    /**
     * The holder ends the statement a little before this VM would, so that its refusal arrives in
     * time to be passed on.
     */
    @Override
    public StatementRequest forTarget(StatementRequest request, long remainingMs) {
      return request.withTimeLimit(Math.max(1, remainingMs - REPLY_MARGIN_MS));
    }

    @Override
    public int maxTries() {
      return MAX_TRIES;
    }

    /**
     * A holder has already tried all targets, so another holder helps only if this one failed or
     * has no room for the statement.
     */
    @Override
    public boolean isRetriedAfter(Fault fault) {
      return switch (fault.code()) {
        case SHUTTING_DOWN,
            NO_CONNECTION,
            TARGET_UNREACHABLE,
            WRONG_TARGET,
            NO_PRIMARY,
            MEMORY_SHORT ->
            true;
        default -> false;
      };
    }

    @Override
    public boolean hasTargets() {
      return !holders.isEmpty();
    }

    @Override
    public boolean retriesUnsentElsewhere() {
      return true;
    }

    @Override
    public TargetSelector afterRefusal() {
      return this;
    }
  }

  /**
   * Selects among the holders in the order that all VMs use for an organisation, so that few
   * holders need connections for it.
   *
   * @param forwarding the holders, and how statements are forwarded to them
   * @param organisation the organisation of the statement
   * @param local true if the holders of this VM's failure domain come first, since the replica
   *     there can run the statement
   * @param own selects targets if this VM is a holder itself, which then runs the statements for
   *     which it comes first, and those that an earlier holder did not run
   */
  record Placed(
      Forwarding forwarding, String organisation, boolean local, Optional<TargetSelector> own)
      implements TargetSelector {

    @Override
    public Optional<LogPosition> floor(Route route, LogPosition sessionCommit, long nowMs) {
      return forwarding.floor(route, sessionCommit, nowMs);
    }

    /**
     * Returns the first holder that is available, and that has not lacked the primary a moment ago
     * if the statement needs it. Without one, a VM that is no holder tries any that is not known to
     * be unreachable.
     *
     * @return the holder, or empty if this VM comes first or there is none
     */
    @Override
    public Optional<TargetHandle> choose(
        Route route, Optional<LogPosition> floor, Set<String> tried, long nowMs) {
      List<TargetHandle> ordered = holdersBeforeOwn(route.service());
      Predicate<TargetHandle> untried = holder -> !tried.contains(holder.target().id());
      Predicate<TargetHandle> suitable =
          holder -> !holder.isUnavailable(nowMs) && (local || !holder.lacksPrimary(nowMs));
      Optional<TargetHandle> available = ordered.stream().filter(untried.and(suitable)).findFirst();
      if (available.isPresent() || own.isPresent()) {
        return available;
      }
      return ordered.stream()
          .filter(untried.and(holder -> !holder.isUnreachable(nowMs)))
          .findFirst();
    }

    private List<TargetHandle> holdersBeforeOwn(String service) {
      Map<String, TargetHandle> byVm = new HashMap<>();
      for (TargetHandle holder : forwarding.holders().of(service)) {
        if (!forwarding.holders().isLeaving(holder)) {
          byVm.put(HolderTargets.vmOf(holder.target()), holder);
        }
      }
      Set<String> vms = new HashSet<>(byVm.keySet());
      own.ifPresent(selector -> vms.add(forwarding.vm()));
      List<String> order = forwarding.orders().order(vms, organisation, service);
      return (local ? ownDomainFirst(order, byVm) : order)
          .stream()
              .takeWhile(vm -> own.isEmpty() || !vm.equals(forwarding.vm()))
              .map(byVm::get)
              .toList();
    }

    private List<String> ownDomainFirst(List<String> order, Map<String, TargetHandle> byVm) {
      String ownDomain = forwarding.holderSelector().failureDomain();
      Predicate<String> inOwnDomain =
          vm -> !byVm.containsKey(vm) || byVm.get(vm).target().failureDomain().equals(ownDomain);
      return Stream.concat(
              order.stream().filter(inOwnDomain), order.stream().filter(inOwnDomain.negate()))
          .toList();
    }

    /** The holder decides whether it may use the primary. */
    @Override
    public boolean isUsable(TargetHandle target, Optional<LogPosition> floor, long nowMs) {
      return true;
    }

    @Override
    public CallerStatement.Begin begin(boolean readOnly, Optional<LogPosition> floor) {
      return forwarding.begin(readOnly, floor);
    }

    @Override
    public StatementRequest forTarget(StatementRequest request, long remainingMs) {
      return forwarding.forTarget(request, remainingMs);
    }

    @Override
    public int maxTries() {
      return forwarding.maxTries();
    }

    @Override
    public boolean isRetriedAfter(Fault fault) {
      return forwarding.isRetriedAfter(fault);
    }

    @Override
    public boolean hasTargets() {
      return own.isPresent() || forwarding.hasTargets();
    }

    @Override
    public boolean retriesUnsentElsewhere() {
      return true;
    }

    @Override
    public TargetSelector afterRefusal() {
      return own.orElse(this);
    }
  }
}
