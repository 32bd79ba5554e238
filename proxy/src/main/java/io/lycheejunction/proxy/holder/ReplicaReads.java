package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.admission.Ask;
import io.lycheejunction.core.admission.Lane;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.group.GroupWatch;
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
 * Runs reads on replicas.
 *
 * <p>The position that the target reports with its answer decides whether the answer is given; what
 * is known before only saves a statement whose answer would be withheld.
 */
final class ReplicaReads {
  private final HeldTargets targets;
  private final Peers peers;
  private final GroupWatch watch;
  private final Freshness freshness;
  private final CorrelationIds correlationIds;
  private final HolderSettings settings;
  private final HolderMetrics metrics;

  ReplicaReads(
      HeldTargets targets,
      Peers peers,
      GroupWatch watch,
      Freshness freshness,
      CorrelationIds correlationIds,
      HolderSettings settings,
      HolderMetrics metrics) {
    this.targets = targets;
    this.peers = peers;
    this.watch = watch;
    this.freshness = freshness;
    this.correlationIds = correlationIds;
    this.settings = settings;
    this.metrics = metrics;
  }

  /** Returns the answer to a read on a target that is not known to be the primary. */
  Result<HeldAnswer> read(HeldStatement read, HeldTarget held, Deadline deadline) {
    return targets
        .group(read.group())
        .flatMap(
            group ->
                catchUp(read, held, deadline)
                    .flatMap(position -> run(read, held, deadline))
                    .flatMap(answered -> judge(read, group, held, answered, deadline)));
  }

  /** Returns the known position once it includes the floor; waits a short time for it. */
  private Result<LogPosition> catchUp(HeldStatement read, HeldTarget held, Deadline deadline) {
    LogPosition known = watch.applied(read.group(), read.target()).max(held.seen());
    if (known.isAtLeast(read.floor())) {
      return Result.success(known);
    }
    long waitMs = deadline.remainingMs(settings.catchUpMs());
    boolean mayWait = held.isCatchingUp();
    Deadline waitUntil = Deadline.in(deadline.clock(), waitMs);
    while (!waitUntil.isPassed()) {
      Result<TargetStatus> status = held.status(waitUntil);
      if (status instanceof Result.Success<TargetStatus> success
          && success.value().applied().isAtLeast(read.floor())) {
        return Result.success(success.value().applied());
      }
      if (!mayWait || !waitUntil.sleepMs(waitUntil.remainingMs(settings.catchUpStepMs()))) {
        break;
      }
    }
    held.lagged(settings.lagMs());
    return Result.failure(
        ResultCode.NOT_FRESH, read.target() + " has not applied the required position");
  }

  private Result<TargetReply.Answered> run(HeldStatement read, HeldTarget held, Deadline deadline) {
    Ask ask =
        new Ask(
            read.service(),
            read.weight(),
            read.entryVm(),
            read.maxAgeMs().isPresent() ? Lane.STALE_READ : Lane.URGENT,
            deadline.remainingMs());
    return held.call(
        ask,
        deadline,
        () -> leaving(read.target()),
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

  private Optional<Fault> leaving(String target) {
    return peers.isLeaving(target)
        ? Optional.of(Fault.of(ResultCode.TARGET_LEAVING, target))
        : Optional.empty();
  }

  private Result<HeldAnswer> judge(
      HeldStatement read,
      GroupSpec group,
      HeldTarget held,
      TargetReply.Answered answered,
      Deadline deadline) {
    return freshness
        .judge(read, group, answered.position(), deadline)
        .map(age -> answer(read, held, answered, age));
  }

  private HeldAnswer answer(
      HeldStatement read, HeldTarget held, TargetReply.Answered answered, Optional<Long> ageMs) {
    metrics.readServed(Role.REPLICA);
    return new HeldAnswer(
        answered.rows(),
        answered.position(),
        answered.replayed(),
        read.target(),
        ageMs,
        held.queued(),
        watch.view(read.group()));
  }
}
