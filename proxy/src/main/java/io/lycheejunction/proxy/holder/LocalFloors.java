package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.configuration.Durability;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.port.TargetPort;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Determines positions that include every acknowledged write of a group, on held primaries.
 *
 * <p>The position is the end of the primary's log, read after the call and received by a majority
 * in a confirmed term. Concurrent calls for a group share one run.
 */
final class LocalFloors {
  private final HeldTargets targets;
  private final GroupMonitor monitor;
  private final TargetPort port;
  private final Acknowledgement acknowledgement;
  private final Map<String, CoalescedCall<LogPosition>> endOfLogCalls = new ConcurrentHashMap<>();

  LocalFloors(
      HeldTargets targets, GroupMonitor monitor, TargetPort port, Acknowledgement acknowledgement) {
    this.targets = targets;
    this.monitor = monitor;
    this.port = port;
    this.acknowledgement = acknowledgement;
  }

  /**
   * Returns the position.
   *
   * <p>Fails with {@code NOT_HOLDER} if another proxy holds the primary, {@code NO_PRIMARY} if
   * there is none or it does not answer, and {@code MAJORITY_LOST} if no majority confirms the
   * position.
   */
  Result<LogPosition> floor(String group, Deadline deadline) {
    Optional<String> primary = monitor.view(group).primary();
    if (primary.isEmpty()) {
      return Result.failure(ResultCode.NO_PRIMARY, group);
    }
    return targets
        .find(group, primary.get())
        .flatMap(
            held ->
                endOfLogCalls
                    .computeIfAbsent(
                        group,
                        name ->
                            new CoalescedCall<>(
                                runDeadline -> confirmedEndOfLog(name, runDeadline)))
                    .call(deadline));
  }

  private Result<LogPosition> confirmedEndOfLog(String group, Deadline deadline) {
    GroupView view = monitor.view(group);
    return monitor
        .confirmTerm(group, view.term(), deadline.remainingMs())
        .flatMap(confirmed -> endOfLog(confirmed, deadline))
        .flatMap(end -> confirmByMajority(group, end, deadline));
  }

  private Result<LogPosition> endOfLog(GroupView view, Deadline deadline) {
    Optional<String> primary = view.primary();
    if (primary.isEmpty()) {
      return Result.failure(ResultCode.NO_PRIMARY, view.group());
    }
    return targets
        .find(view.group(), primary.get())
        .flatMap(held -> status(view.group(), held.spec(), deadline))
        .flatMap(
            status ->
                status.role() == Role.PRIMARY && status.term() == view.term()
                    ? Result.success(status.received())
                    : Result.failure(ResultCode.NO_PRIMARY, "the primary was replaced"));
  }

  private Result<TargetStatus> status(String group, TargetSpec primary, Deadline deadline) {
    Result<TargetStatus> status = port.status(primary, deadline.remainingMs());
    if (status instanceof Result.Failure<TargetStatus> failure) {
      boolean refused = failure.fault().detail().startsWith("refused");
      monitor.reportUnreachable(group, primary.name(), refused);
      return Result.failure(ResultCode.NO_PRIMARY, "the primary did not return its status");
    }
    return status;
  }

  private Result<LogPosition> confirmByMajority(String group, LogPosition end, Deadline deadline) {
    Result<GroupView> view =
        acknowledgement.await(group, end.term(), Durability.MAJORITY, end, deadline);
    return view.isEmpty()
        ? Result.failure(ResultCode.MAJORITY_LOST, "no majority confirmed the end of the log")
        : Result.success(end);
  }
}
