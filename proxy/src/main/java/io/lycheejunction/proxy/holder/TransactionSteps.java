package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.configuration.Durability;
import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.port.TargetRequest;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Runs the steps of an open transaction on its connection. */
final class TransactionSteps {

  /** The state of a transaction and its connection after a step. */
  enum TransactionState {
    /** The transaction is still open. */
    OPEN,
    /** The transaction has ended and its connection can be reused. */
    CLEAN,
    /** The transaction has ended and its connection must be closed. */
    CLOSE
  }

  /**
   * The result of a step.
   *
   * @param state the state of the transaction after the step
   * @param answer the answer to the step
   * @param laterCommitAnswer the answer to a later commit, if the transaction has ended
   */
  record StepResult(
      TransactionState state, Result<HolderAnswer> answer, Result<HolderAnswer> laterCommitAnswer) {

    private static StepResult open(Result<HolderAnswer> result) {
      return new StepResult(TransactionState.OPEN, result, result);
    }

    private static StepResult rolledBack(TransactionState state, String reason) {
      Result<HolderAnswer> fault = Result.failure(ResultCode.ROLLED_BACK, reason);
      return new StepResult(state, fault, fault);
    }

    static StepResult rolledBackWhileIdle() {
      return rolledBack(TransactionState.CLOSE, "the transaction was idle for too long");
    }
  }

  private final GroupMonitor monitor;
  private final Acknowledgement acknowledgement;
  private final CorrelationIds correlationIds;
  private final HolderMetrics metrics;

  TransactionSteps(
      GroupMonitor monitor,
      Acknowledgement acknowledgement,
      CorrelationIds correlationIds,
      HolderMetrics metrics) {
    this.monitor = monitor;
    this.acknowledgement = acknowledgement;
    this.correlationIds = correlationIds;
    this.metrics = metrics;
  }

  /** Returns the group's view if the transaction's target is the confirmed primary of its term. */
  Result<GroupView> confirmPrimary(BeginRequest request, Deadline deadline) {
    if (deadline.isPassed()) {
      return Deadline.exceeded();
    }
    Result<GroupView> view =
        monitor.confirmTerm(request.group(), request.term(), deadline.remainingMs());
    return view.flatMap(
        confirmed ->
            confirmed.primary().equals(Optional.of(request.target()))
                ? view
                : Result.failure(ResultCode.NOT_PRIMARY, request.target()));
  }

  /** Runs one step; the caller must not run two steps of a transaction at the same time. */
  StepResult run(TransactionStep step, OpenTransaction transaction, Deadline deadline) {
    if (step.action().kind() == TransactionStep.Kind.ROLLBACK) {
      return rollback(step, transaction, deadline);
    }
    Result<GroupView> confirmed = confirmPrimary(transaction.beginRequest(), deadline);
    if (confirmed instanceof Result.Failure<GroupView> failure) {
      return isPrimaryReplaced(failure.fault())
          ? StepResult.rolledBack(TransactionState.CLOSE, "the primary was replaced")
          : StepResult.open(Result.failure(failure.fault()));
    }
    return step.action().kind() == TransactionStep.Kind.COMMIT
        ? commit(step, transaction, deadline)
        : executeStatement(step, transaction, deadline);
  }

  private StepResult executeStatement(
      TransactionStep step, OpenTransaction transaction, Deadline deadline) {
    BeginRequest request = transaction.beginRequest();
    Result<TargetReply.Answered> reply =
        transaction.call(
            deadline,
            () -> deadlineFault(deadline),
            connection ->
                connection.execute(
                    new TargetRequest(
                        correlationIds.next(),
                        request.term(),
                        step.action().access(),
                        step.action().statement(),
                        Optional.empty(),
                        deadline.remainingMs())));
    return reply.fold(
        fault -> statementFailed(fault, transaction),
        answered -> statementAnswered(step, transaction, answered, deadline));
  }

  private static StepResult statementFailed(Fault fault, OpenTransaction transaction) {
    if (!fault.isNotRun()) {
      return StepResult.rolledBack(
          TransactionState.CLOSE, "a statement had no answer; the connection was closed");
    }
    if (isPrimaryReplaced(fault) || fault.code() == ResultCode.ROLLED_BACK) {
      return StepResult.rolledBack(TransactionState.CLOSE, fault.detail());
    }
    return transaction.connection().isUsable()
        ? StepResult.open(Result.failure(fault))
        : StepResult.rolledBack(TransactionState.CLOSE, fault.detail());
  }

  /** Returns the answer only if the primary's term can still be confirmed; rolls back otherwise. */
  private StepResult statementAnswered(
      TransactionStep step,
      OpenTransaction transaction,
      TargetReply.Answered answered,
      Deadline deadline) {
    BeginRequest request = transaction.beginRequest();
    Durability durability =
        step.action().access() == Access.READ ? request.durability() : Durability.PRIMARY;
    Result<GroupView> view =
        acknowledgement.await(
            request.group(), request.term(), durability, answered.position(), deadline);
    return view.fold(
        fault ->
            StepResult.rolledBack(
                TransactionState.CLOSE, "the primary's term could not be confirmed"),
        confirmed -> StepResult.open(Result.success(toAnswer(transaction, answered, confirmed))));
  }

  private StepResult commit(TransactionStep step, OpenTransaction transaction, Deadline deadline) {
    Result<TargetReply.Answered> reply =
        transaction.call(
            deadline,
            () -> deadlineFault(deadline),
            connection -> connection.commit(step.action().key(), deadline.remainingMs()));
    return reply.fold(
        TransactionSteps::notCommitted, answered -> committed(transaction, answered, deadline));
  }

  private StepResult committed(
      OpenTransaction transaction, TargetReply.Answered answered, Deadline deadline) {
    BeginRequest request = transaction.beginRequest();
    Result<HolderAnswer> result =
        acknowledgement
            .await(
                request.group(),
                request.term(),
                request.durability(),
                answered.position(),
                deadline)
            .map(view -> acknowledgedAnswer(transaction, answered, view));
    return new StepResult(TransactionState.CLEAN, result, result);
  }

  private static StepResult notCommitted(Fault fault) {
    if (!fault.isNotRun()) {
      return endWithFault(fault);
    }
    return switch (fault.code()) {
      case QUEUE_FULL, WAIT_TOO_LONG, DEADLINE_EXCEEDED, CIRCUIT_OPEN ->
          StepResult.open(Result.failure(fault));
      default -> endWithFault(fault);
    };
  }

  private static StepResult endWithFault(Fault fault) {
    Result<HolderAnswer> result = Result.failure(fault);
    return new StepResult(TransactionState.CLOSE, result, result);
  }

  private HolderAnswer acknowledgedAnswer(
      OpenTransaction transaction, TargetReply.Answered answered, GroupView view) {
    metrics.writeAcknowledged();
    return toAnswer(transaction, answered, view);
  }

  private StepResult rollback(
      TransactionStep step, OpenTransaction transaction, Deadline deadline) {
    BeginRequest request = transaction.beginRequest();
    Result<TargetReply.Answered> reply =
        transaction.call(
            deadline, Optional::empty, connection -> connection.rollback(deadline.remainingMs()));
    GroupView view = monitor.view(request.group());
    Result<HolderAnswer> laterCommitAnswer =
        Result.failure(ResultCode.ROLLED_BACK, "rolled back on request");
    TargetReply.Answered emptyAnswer = new TargetReply.Answered(List.of(), view.confirmed(), false);
    TargetReply.Answered answered = reply.getOrElse(emptyAnswer);
    TransactionState state = reply.isEmpty() ? TransactionState.CLOSE : TransactionState.CLEAN;
    return new StepResult(
        state, Result.success(toAnswer(transaction, answered, view)), laterCommitAnswer);
  }

  private HolderAnswer toAnswer(
      OpenTransaction transaction, TargetReply.Answered answered, GroupView view) {
    OptionalLong age =
        monitor.maxDataAgeMs(transaction.beginRequest().group(), answered.position());
    return new HolderAnswer(
        answered.rows(),
        answered.position(),
        answered.replayed(),
        transaction.beginRequest().target(),
        age.isPresent() ? Optional.of(age.getAsLong()) : Optional.empty(),
        transaction.held().queued(),
        view);
  }

  private static boolean isPrimaryReplaced(Fault fault) {
    return fault.code() == ResultCode.NOT_PRIMARY;
  }

  private static Optional<Fault> deadlineFault(Deadline deadline) {
    return deadline.isPassed()
        ? Optional.of(Fault.of(ResultCode.DEADLINE_EXCEEDED, "deadline passed before dispatch"))
        : Optional.empty();
  }
}
