package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.admission.AdmissionRequest;
import io.lycheejunction.core.admission.PriorityClass;
import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.port.TargetRequest;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.Optional;
import java.util.OptionalLong;

/** Runs single statements on targets that this proxy holds. */
final class LocalStatements {
  private final HeldTargets targets;
  private final Peers peers;
  private final GroupMonitor monitor;
  private final Acknowledgement acknowledgement;
  private final ReplicaReads replicaReads;
  private final CorrelationIds correlationIds;
  private final HolderMetrics metrics;

  LocalStatements(
      HeldTargets targets,
      Peers peers,
      GroupMonitor monitor,
      Acknowledgement acknowledgement,
      ReplicaReads replicaReads,
      CorrelationIds correlationIds,
      HolderMetrics metrics) {
    this.targets = targets;
    this.peers = peers;
    this.monitor = monitor;
    this.acknowledgement = acknowledgement;
    this.replicaReads = replicaReads;
    this.correlationIds = correlationIds;
    this.metrics = metrics;
  }

  /** Returns the answer to a statement on a held target, or {@code NOT_HOLDER}. */
  Result<HolderAnswer> execute(HolderStatement statement, Deadline deadline) {
    Optional<Fault> leaving = leavingFault(statement.target());
    if (leaving.isPresent()) {
      return Result.failure(leaving.get());
    }
    return targets
        .find(statement.group(), statement.target())
        .flatMap(held -> execute(statement, held, deadline));
  }

  private Result<HolderAnswer> execute(
      HolderStatement statement, HeldTarget held, Deadline deadline) {
    if (statement.access() == Access.WRITE) {
      return write(statement, held, deadline);
    }
    Optional<String> primary = monitor.view(statement.group()).primary();
    if (!primary.equals(Optional.of(statement.target()))) {
      return replicaReads.read(statement, held, deadline);
    }
    return readPrimary(statement, held, deadline);
  }

  private Result<HolderAnswer> write(HolderStatement write, HeldTarget held, Deadline deadline) {
    return confirmPrimary(write, write.term(), deadline)
        .flatMap(view -> dispatch(write, write.term(), held, deadline))
        .flatMap(
            answered ->
                acknowledgement
                    .await(
                        write.group(),
                        write.term(),
                        write.durability(),
                        answered.position(),
                        deadline)
                    .map(view -> acknowledgedAnswer(write, held, answered, view)));
  }

  private HolderAnswer acknowledgedAnswer(
      HolderStatement write, HeldTarget held, TargetReply.Answered answered, GroupView view) {
    metrics.writeAcknowledged();
    return toAnswer(write, held, answered, view);
  }

  private Result<HolderAnswer> readPrimary(
      HolderStatement read, HeldTarget held, Deadline deadline) {
    long term = monitor.view(read.group()).term();
    Result<GroupView> confirmed = confirmPrimary(read, term, deadline);
    if (confirmed instanceof Result.Failure<GroupView> failure) {
      return read.maxAgeMs().isPresent()
          ? replicaReads.read(read, held, deadline)
          : Result.failure(failure.fault());
    }
    return dispatch(read, term, held, deadline)
        .flatMap(answered -> checkPrimaryAnswer(read, term, held, answered, deadline));
  }

  private Result<HolderAnswer> checkPrimaryAnswer(
      HolderStatement read,
      long term,
      HeldTarget held,
      TargetReply.Answered answered,
      Deadline deadline) {
    boolean isInTerm = answered.position().term() == term;
    if (!isInTerm || !answered.position().isAtLeast(read.floor())) {
      return Result.failure(
          ResultCode.NOT_FRESH,
          read.target() + " answered with a position of another term or below the required one");
    }
    Result<GroupView> view =
        acknowledgement.await(read.group(), term, read.durability(), answered.position(), deadline);
    if (view instanceof Result.Success<GroupView> success) {
      metrics.readServed(Role.PRIMARY);
      return Result.success(toAnswer(read, held, answered, success.value()));
    }
    return Result.failure(ResultCode.MAJORITY_LOST, "no majority confirmed the data that was read");
  }

  private Result<TargetReply.Answered> dispatch(
      HolderStatement statement, long term, HeldTarget held, Deadline deadline) {
    return held.callOnPooledConnection(
        admissionRequest(statement, deadline),
        deadline,
        () -> faultBeforeDispatch(statement, term, deadline),
        connection ->
            connection.execute(
                new TargetRequest(
                    correlationIds.next(),
                    term,
                    statement.access(),
                    statement.statement(),
                    statement.key(),
                    deadline.remainingMs())));
  }

  private Optional<Fault> faultBeforeDispatch(
      HolderStatement statement, long term, Deadline deadline) {
    Optional<Fault> leaving = leavingFault(statement.target());
    if (leaving.isPresent() || monitor.mayAcknowledge(statement.group(), term)) {
      return leaving;
    }
    return confirmPrimary(statement, term, deadline).fold(Optional::of, view -> Optional.empty());
  }

  private Result<GroupView> confirmPrimary(
      HolderStatement statement, long term, Deadline deadline) {
    if (deadline.isPassed()) {
      return Deadline.exceeded();
    }
    Result<GroupView> view = monitor.confirmTerm(statement.group(), term, deadline.remainingMs());
    return view.flatMap(
        confirmed ->
            confirmed.primary().equals(Optional.of(statement.target()))
                ? view
                : Result.failure(ResultCode.NOT_PRIMARY, statement.target()));
  }

  private Optional<Fault> leavingFault(String target) {
    return peers.isLeaving(target)
        ? Optional.of(Fault.of(ResultCode.TARGET_LEAVING, target))
        : Optional.empty();
  }

  private HolderAnswer toAnswer(
      HolderStatement statement, HeldTarget held, TargetReply.Answered answered, GroupView view) {
    OptionalLong age = monitor.maxDataAgeMs(statement.group(), answered.position());
    return new HolderAnswer(
        answered.rows(),
        answered.position(),
        answered.replayed(),
        statement.target(),
        age.isPresent() ? Optional.of(age.getAsLong()) : Optional.empty(),
        held.queued(),
        view);
  }

  private static AdmissionRequest admissionRequest(HolderStatement statement, Deadline deadline) {
    boolean allowsStaleData = statement.access() == Access.READ && statement.maxAgeMs().isPresent();
    return new AdmissionRequest(
        statement.service(),
        statement.weight(),
        statement.entryVm(),
        allowsStaleData ? PriorityClass.STALE_READ : PriorityClass.URGENT,
        deadline.remainingMs());
  }
}
