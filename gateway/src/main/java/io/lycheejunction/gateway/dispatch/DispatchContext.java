package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.holder.Role;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.schedule.Scheduler;
import io.lycheejunction.gateway.target.Target;
import io.lycheejunction.gateway.target.TargetHandle;
import io.lycheejunction.gateway.target.Targets;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The components shared by all running statements.
 *
 * @param scheduler the gateway's clock and timers
 * @param targets all registered targets
 * @param positions the proven log positions of all services
 * @param direct selects among targets
 * @param forwarding selects among the VMs that hold connections to targets
 * @param role tells whether this VM forwards statements, and so which selector is in force
 * @param gate queues statements while a group has no primary
 * @param hedging limits hedged reads
 * @param overdueNotifier reports targets whose answers are overdue
 * @param statementLog counts and logs the outcomes of statements
 */
public record DispatchContext(
    Scheduler scheduler,
    Targets targets,
    ServicePositions positions,
    TargetSelector direct,
    TargetSelector.Forwarding forwarding,
    Role role,
    PrimaryGate gate,
    Hedging hedging,
    OverdueNotifier overdueNotifier,
    StatementLog statementLog) {
  /** Retry-after hint of refusals while a group has no primary, in milliseconds. */
  public static final long NO_PRIMARY_RETRY_MS = 300;

  /** Retry-after hint of refusals due to a lack of capacity, in milliseconds. */
  static final long BUSY_RETRY_MS = 60;

  /** Time limit for a target to begin a transaction, which costs it no work, in milliseconds. */
  static final long BEGIN_TIMEOUT_MS = 500;

  /** Rejects null components. */
  public DispatchContext {
    Objects.requireNonNull(scheduler, "scheduler is null");
    Objects.requireNonNull(targets, "targets is null");
    Objects.requireNonNull(positions, "positions is null");
    Objects.requireNonNull(direct, "direct is null");
    Objects.requireNonNull(forwarding, "forwarding is null");
    Objects.requireNonNull(role, "role is null");
    Objects.requireNonNull(gate, "gate is null");
    Objects.requireNonNull(hedging, "hedging is null");
    Objects.requireNonNull(overdueNotifier, "overdueNotifier is null");
    Objects.requireNonNull(statementLog, "statementLog is null");
  }

  /**
   * Returns the selector for a statement that starts now.
   *
   * <p>A statement that was forwarded to this VM is never forwarded again. A holder forwards a
   * statement of its own caller to an available holder that comes before it in the order for the
   * caller's organisation.
   *
   * @param request the statement
   * @param needsPrimary true if only the primary can run it, or the transaction that it belongs to
   * @return the selector for its first try
   */
  TargetSelector selector(StatementRequest request, boolean needsPrimary) {
    if (request.forwarded()) {
      return direct;
    }
    if (request.organisation().isEmpty() || !role.isForwarding() && !role.isHolding()) {
      return selector();
    }
    String organisation = request.organisation().get();
    if (role.isForwarding()) {
      return new TargetSelector.Placed(forwarding, organisation, !needsPrimary, Optional.empty());
    }
    TargetSelector placed =
        new TargetSelector.Placed(forwarding, organisation, !needsPrimary, Optional.of(direct));
    return placed
        .choose(request.route(), Optional.empty(), Set.of(), scheduler.nowMs())
        .map(holder -> placed)
        .orElse(direct);
  }

  private TargetSelector selector() {
    return role.isForwarding() ? forwarding : direct;
  }

  /**
   * Returns whether a statement that starts now is sent to targets by this VM.
   *
   * @param request the statement
   * @param inTransaction true if it belongs to a transaction
   * @return true if so, false if it is forwarded to another VM
   */
  public boolean isDirect(StatementRequest request, boolean inTransaction) {
    return selector(request, inTransaction || request.needsPrimary())
        instanceof TargetSelector.Direct;
  }

  /**
   * Returns whether there is any target to send statements to.
   *
   * @return true if so
   */
  public boolean hasTargets() {
    return selector().hasTargets();
  }

  /**
   * Records the log position that a target reported while it was proven to be the primary.
   *
   * @param handle the target
   * @param reply its answer, which may contain a log position
   * @param askedMs the time at which the command was sent, in milliseconds
   */
  void recordProvenPosition(TargetHandle handle, LinkReply reply, long askedMs) {
    reply
        .position()
        .ifPresent(
            position -> {
              handle.recordPrimary(position.term());
              positions.of(handle.target().service()).record(askedMs, position);
            });
  }

  /**
   * Returns the fault of a statement that was not sent, since this VM may not use the primary now.
   *
   * @param target the primary
   * @return the fault
   */
  static Fault primaryNotUsable(Target target) {
    return new Fault(
        ResultCode.NO_PRIMARY,
        "the lease on primary " + target.id() + " of " + target.service() + " is not held",
        NO_PRIMARY_RETRY_MS);
  }

  /**
   * Returns the fault of a write that was answered after the lease on the primary had expired. The
   * primary may have been replaced before it ran the write.
   *
   * @param target the primary
   * @return the fault
   */
  static Fault answeredTooLate(Target target) {
    return Fault.of(
        ResultCode.UNKNOWN_OUTCOME,
        "the lease on primary " + target.id() + " expired before the answer arrived");
  }

  /**
   * Returns the fault of a statement for which no primary is known.
   *
   * @param service the name of the service
   * @return the fault, with a retry-after hint
   */
  static Fault noPrimary(String service) {
    return new Fault(
        ResultCode.NO_PRIMARY, "no primary of " + service + " is known", NO_PRIMARY_RETRY_MS);
  }
}
