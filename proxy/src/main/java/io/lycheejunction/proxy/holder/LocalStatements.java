package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.admission.Ask;
import io.lycheejunction.core.admission.Lane;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.group.GroupWatch;
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
  private final GroupWatch watch;
  private final Acknowledgement acknowledgement;
  private final ReplicaReads replicaReads;
  private final CorrelationIds correlationIds;
  private final HolderMetrics metrics;

  LocalStatements(
      HeldTargets targets,
      Peers peers,
      GroupWatch watch,
      Acknowledgement acknowledgement,
      ReplicaReads replicaReads,
      CorrelationIds correlationIds,
      HolderMetrics metrics) {
    this.targets = targets;
    this.peers = peers;
    this.watch = watch;
    this.acknowledgement = acknowledgement;
    this.replicaReads = replicaReads;
    this.correlationIds = correlationIds;
    this.metrics = metrics;
  }

  /** Returns the answer to a statement on a held target, or {@code NOT_HOLDER}. */
  Result<HeldAnswer> execute(HeldStatement statement, Deadline deadline) {
    Optional<Fault> leaving = leaving(statement.target());
    if (leaving.isPresent()) {
      return Result.failure(leaving.get());
    }
    return targets
        .find(statement.group(), statement.target())
        .flatMap(held -> execute(statement, held, deadline));
  }

  private Result<HeldAnswer> execute(HeldStatement statement, HeldTarget held, Deadline deadline) {
    if (statement.access() == Access.WRITE) {
      return write(statement, held, deadline);
    }
    Optional<String> primary = watch.view(statement.group()).primary();
    if (!primary.equals(Optional.of(statement.target()))) {
      return replicaReads.read(statement, held, deadline);
    }
    return primaryRead(statement, held, deadline);
  }

  private Result<HeldAnswer> write(HeldStatement write, HeldTarget held, Deadline deadline) {
    return confirm(write, write.term(), deadline)
        .flatMap(view -> run(write, write.term(), held, deadline))
        .flatMap(
            answered ->
                acknowledgement
                    .await(
                        write.group(),
                        write.term(),
                        write.durability(),
                        answered.position(),
                        deadline)
                    .map(view -> acknowledged(write, held, answered, view)));
  }

  private HeldAnswer acknowledged(
      HeldStatement write, HeldTarget held, TargetReply.Answered answered, GroupView view) {
    metrics.writeAcknowledged();
    return answer(write, held, answered, view);
  }

  private Result<HeldAnswer> primaryRead(HeldStatement read, HeldTarget held, Deadline deadline) {
    long term = watch.view(read.group()).term();
    Result<GroupView> confirmed = confirm(read, term, deadline);
    if (confirmed instanceof Result.Failure<GroupView> failure) {
      return read.maxAgeMs().isPresent()
          ? replicaReads.read(read, held, deadline)
          : Result.failure(failure.fault());
    }
    return run(read, term, held, deadline)
        .flatMap(answered -> primaryAnswer(read, term, held, answered, deadline));
  }

  private Result<HeldAnswer> primaryAnswer(
      HeldStatement read,
      long term,
      HeldTarget held,
      TargetReply.Answered answered,
      Deadline deadline) {
    boolean isOfTerm = answered.position().term() == term;
    if (!isOfTerm || !answered.position().isAtLeast(read.floor())) {
      return Result.failure(ResultCode.NOT_FRESH, read.target() + " is behind its group");
    }
    Result<GroupView> view =
        acknowledgement.await(read.group(), term, read.durability(), answered.position(), deadline);
    if (view instanceof Result.Success<GroupView> success) {
      metrics.readServed(Role.PRIMARY);
      return Result.success(answer(read, held, answered, success.value()));
    }
    return Result.failure(ResultCode.MAJORITY_LOST, "no majority confirmed the data that was read");
  }

  private Result<TargetReply.Answered> run(
      HeldStatement statement, long term, HeldTarget held, Deadline deadline) {
    return held.call(
        ask(statement, deadline),
        deadline,
        () -> lastCheck(statement, term, deadline),
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

  private Optional<Fault> lastCheck(HeldStatement statement, long term, Deadline deadline) {
    Optional<Fault> leaving = leaving(statement.target());
    if (leaving.isPresent() || watch.mayAcknowledge(statement.group(), term)) {
      return leaving;
    }
    return confirm(statement, term, deadline).fold(Optional::of, view -> Optional.empty());
  }

  private Result<GroupView> confirm(HeldStatement statement, long term, Deadline deadline) {
    if (deadline.isPassed()) {
      return Deadline.exceeded();
    }
    Result<GroupView> view = watch.confirmTerm(statement.group(), term, deadline.remainingMs());
    return view.flatMap(
        confirmed ->
            confirmed.primary().equals(Optional.of(statement.target()))
                ? view
                : Result.failure(ResultCode.NOT_PRIMARY, statement.target()));
  }

  private Optional<Fault> leaving(String target) {
    return peers.isLeaving(target)
        ? Optional.of(Fault.of(ResultCode.TARGET_LEAVING, target))
        : Optional.empty();
  }

  private HeldAnswer answer(
      HeldStatement statement, HeldTarget held, TargetReply.Answered answered, GroupView view) {
    OptionalLong age = watch.ageMs(statement.group(), answered.position());
    return new HeldAnswer(
        answered.rows(),
        answered.position(),
        answered.replayed(),
        statement.target(),
        age.isPresent() ? Optional.of(age.getAsLong()) : Optional.empty(),
        held.queued(),
        view);
  }

  private static Ask ask(HeldStatement statement, Deadline deadline) {
    boolean isStale = statement.access() == Access.READ && statement.maxAgeMs().isPresent();
    return new Ask(
        statement.service(),
        statement.weight(),
        statement.entryVm(),
        isStale ? Lane.STALE_READ : Lane.URGENT,
        deadline.remainingMs());
  }
}
