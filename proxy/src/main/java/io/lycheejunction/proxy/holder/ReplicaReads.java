package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.admission.AdmissionRequest;
import io.lycheejunction.core.admission.PriorityClass;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.port.TargetRequest;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import java.util.Optional;

/**
 * Runs reads on targets that are not known to be the primary.
 *
 * <p>Whether an answer may be sent depends only on the position that the target reports with it.
 * The check before dispatch avoids running a read whose answer would be discarded.
 */
final class ReplicaReads {
  private final HeldTargets targets;
  private final Peers peers;
  private final GroupMonitor monitor;
  private final FreshnessCheck freshness;
  private final CorrelationIds correlationIds;
  private final HolderSettings settings;
  private final HolderMetrics metrics;

  ReplicaReads(
      HeldTargets targets,
      Peers peers,
      GroupMonitor monitor,
      FreshnessCheck freshness,
      CorrelationIds correlationIds,
      HolderSettings settings,
      HolderMetrics metrics) {
    this.targets = targets;
    this.peers = peers;
    this.monitor = monitor;
    this.freshness = freshness;
    this.correlationIds = correlationIds;
    this.settings = settings;
    this.metrics = metrics;
  }

  /** Returns the answer to a read on a target that is not known to be the primary. */
  Result<HolderAnswer> read(HolderStatement read, HeldTarget held, Deadline deadline) {
    return targets
        .group(read.group())
        .flatMap(
            group ->
                catchUp(read, held, deadline)
                    .flatMap(position -> dispatch(read, held, deadline))
                    .flatMap(answered -> checkFreshness(read, group, held, answered, deadline)));
  }

  /** Returns the target's position once it is at least the floor, or {@code NOT_FRESH}. */
  private Result<LogPosition> catchUp(HolderStatement read, HeldTarget held, Deadline deadline) {
    LogPosition known =
        monitor.lastAppliedPosition(read.group(), read.target()).max(held.latestPosition());
    if (known.isAtLeast(read.floor())) {
      return Result.success(known);
    }
    long waitMs = deadline.remainingMs(settings.catchUpTimeoutMs());
    boolean mayWait = held.mayWaitForCatchUp();
    Deadline waitUntil = Deadline.in(deadline.clock(), waitMs);
    while (!waitUntil.isPassed()) {
      Result<TargetStatus> status = held.status(waitUntil);
      if (status instanceof Result.Success<TargetStatus> success
          && success.value().applied().isAtLeast(read.floor())) {
        return Result.success(success.value().applied());
      }
      if (!mayWait || !waitUntil.sleepMs(waitUntil.remainingMs(settings.catchUpPollMs()))) {
        break;
      }
    }
    held.disableCatchUpWait(settings.catchUpPauseMs());
    return Result.failure(
        ResultCode.NOT_FRESH, read.target() + " has not applied the required position");
  }

  private Result<TargetReply.Answered> dispatch(
      HolderStatement read, HeldTarget held, Deadline deadline) {
    AdmissionRequest request =
        new AdmissionRequest(
            read.service(),
            read.weight(),
            read.entryVm(),
            read.maxAgeMs().isPresent() ? PriorityClass.STALE_READ : PriorityClass.URGENT,
            deadline.remainingMs());
    return held.callOnPooledConnection(
        request,
        deadline,
        () -> leavingFault(read.target()),
        connection ->
            connection.execute(
                new TargetRequest(
                    correlationIds.next(),
                    read.term(),
                    Access.READ,
                    read.statement(),
                    Optional.empty(),
                    deadline.remainingMs())));
  }

  private Optional<Fault> leavingFault(String target) {
    return peers.isLeaving(target)
        ? Optional.of(Fault.of(ResultCode.TARGET_LEAVING, target))
        : Optional.empty();
  }

  private Result<HolderAnswer> checkFreshness(
      HolderStatement read,
      GroupSpec group,
      HeldTarget held,
      TargetReply.Answered answered,
      Deadline deadline) {
    return freshness
        .check(read, group, answered.position(), deadline)
        .map(age -> toAnswer(read, held, answered, age));
  }

  private HolderAnswer toAnswer(
      HolderStatement read, HeldTarget held, TargetReply.Answered answered, Optional<Long> ageMs) {
    metrics.readServed(Role.REPLICA);
    return new HolderAnswer(
        answered.rows(),
        answered.position(),
        answered.replayed(),
        read.target(),
        ageMs,
        held.queued(),
        monitor.view(read.group()));
  }
}
