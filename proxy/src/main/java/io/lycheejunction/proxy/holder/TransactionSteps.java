package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.admission.Ask;
import io.lycheejunction.core.admission.Lane;
import io.lycheejunction.core.configuration.Durability;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.group.GroupWatch;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.port.TargetRequest;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Runs the steps of a transaction on its connection. */
final class TransactionSteps {

  /** What a step leaves behind. */
  enum End {
    /** The transaction is still open. */
    OPEN,
    /** The transaction has ended and the connection's state is known. */
    CLEAN,
    /** The transaction has ended and its connection must be closed. */
    CLOSE
  }

  /**
   * What became of a step.
   *
   * @param end what it leaves behind
   * @param result the answer to the step
   * @param commitResult the answer to a later commit, if the transaction has ended
   */
  record Done(End end, Result<HeldAnswer> result, Result<HeldAnswer> commitResult) {

    private static Done open(Result<HeldAnswer> result) {
      return new Done(End.OPEN, result, result);
    }

    private static Done rolledBack(End end, String reason) {
      Result<HeldAnswer> fault = Result.failure(ResultCode.ROLLED_BACK, reason);
      return new Done(end, fault, fault);
    }

    static Done abandoned() {
      return rolledBack(End.CLOSE, "the transaction was idle for too long");
    }
  }

  private final GroupWatch watch;
  private final Acknowledgement acknowledgement;
  private final CorrelationIds correlationIds;
  private final HolderMetrics metrics;

  TransactionSteps(
      GroupWatch watch,
      Acknowledgement acknowledgement,
      CorrelationIds correlationIds,
      HolderMetrics metrics) {
    this.watch = watch;
    this.acknowledgement = acknowledgement;
    this.correlationIds = correlationIds;
    this.metrics = metrics;
  }

  /** Returns the group's view if the transaction's target is the confirmed primary of its term. */
  Result<GroupView> confirm(TransactionStart start, Deadline deadline) {
    if (deadline.isPassed()) {
      return Deadline.exceeded();
    }
    Result<GroupView> view = watch.confirmTerm(start.group(), start.term(), deadline.remainingMs());
    return view.flatMap(
        confirmed ->
            confirmed.primary().equals(Optional.of(start.target()))
                ? view
                : Result.failure(ResultCode.NOT_PRIMARY, start.target()));
  }

  /** Runs one step, which no other step of the same transaction overlaps. */
  Done run(TransactionStep step, OpenTransaction transaction, Deadline deadline) {
    if (step.action().kind() == TransactionStep.Kind.ROLLBACK) {
      return rollback(step, transaction, deadline);
    }
    Result<GroupView> confirmed = confirm(transaction.start(), deadline);
    if (confirmed instanceof Result.Failure<GroupView> failure) {
      return isReplaced(failure.fault())
          ? Done.rolledBack(End.CLOSE, "the primary was replaced")
          : Done.open(Result.failure(failure.fault()));
    }
    return step.action().kind() == TransactionStep.Kind.COMMIT
        ? commit(step, transaction, deadline)
        : statement(step, transaction, deadline);
  }

  private Done statement(TransactionStep step, OpenTransaction transaction, Deadline deadline) {
    TransactionStart start = transaction.start();
    Result<TargetReply.Answered> reply =
        transaction
            .held()
            .callOn(
                transaction.connection(),
                ask(start, deadline),
                () -> passed(deadline),
                connection ->
                    connection.execute(
                        new TargetRequest(
                            correlationIds.next(),
                            start.term(),
                            step.action().access(),
                            step.action().statement(),
                            Optional.empty(),
                            deadline.remainingMs())));
    return reply.fold(
        fault -> refused(fault, transaction),
        answered -> answered(step, transaction, answered, deadline));
  }

  private static Done refused(Fault fault, OpenTransaction transaction) {
    if (!fault.isNotRun()) {
      return Done.rolledBack(End.CLOSE, "a statement had no answer; its connection is closed");
    }
    if (isReplaced(fault) || fault.code() == ResultCode.ROLLED_BACK) {
      return Done.rolledBack(End.CLOSE, fault.detail());
    }
    return transaction.connection().isUsable()
        ? Done.open(Result.failure(fault))
        : Done.rolledBack(End.CLOSE, fault.detail());
  }

  /** A statement's answer is given only while the primary's term holds. */
  private Done answered(
      TransactionStep step,
      OpenTransaction transaction,
      TargetReply.Answered answered,
      Deadline deadline) {
    TransactionStart start = transaction.start();
    Durability durability =
        step.action().access() == Access.READ ? start.durability() : Durability.PRIMARY;
    Result<GroupView> view =
        acknowledgement.await(
            start.group(), start.term(), durability, answered.position(), deadline);
    return view.fold(
        fault -> Done.rolledBack(End.CLOSE, "the primary's term could not be confirmed"),
        confirmed -> Done.open(Result.success(answer(transaction, answered, confirmed))));
  }

  private Done commit(TransactionStep step, OpenTransaction transaction, Deadline deadline) {
    TransactionStart start = transaction.start();
    Result<TargetReply.Answered> reply =
        transaction
            .held()
            .callOn(
                transaction.connection(),
                ask(start, deadline),
                () -> passed(deadline),
                connection -> connection.commit(step.action().key(), deadline.remainingMs()));
    return reply.fold(
        TransactionSteps::notCommitted, answered -> committed(transaction, answered, deadline));
  }

  private Done committed(
      OpenTransaction transaction, TargetReply.Answered answered, Deadline deadline) {
    TransactionStart start = transaction.start();
    Result<HeldAnswer> result =
        acknowledgement
            .await(start.group(), start.term(), start.durability(), answered.position(), deadline)
            .map(view -> acknowledged(transaction, answered, view));
    return new Done(End.CLEAN, result, result);
  }

  private static Done notCommitted(Fault fault) {
    if (!fault.isNotRun()) {
      return closed(fault);
    }
    return switch (fault.code()) {
      case QUEUE_FULL, WAIT_TOO_LONG, DEADLINE_EXCEEDED, CIRCUIT_OPEN ->
          Done.open(Result.failure(fault));
      default -> closed(fault);
    };
  }

  private static Done closed(Fault fault) {
    Result<HeldAnswer> result = Result.failure(fault);
    return new Done(End.CLOSE, result, result);
  }

  private HeldAnswer acknowledged(
      OpenTransaction transaction, TargetReply.Answered answered, GroupView view) {
    metrics.writeAcknowledged();
    return answer(transaction, answered, view);
  }

  private Done rollback(TransactionStep step, OpenTransaction transaction, Deadline deadline) {
    TransactionStart start = transaction.start();
    Result<TargetReply.Answered> reply =
        transaction
            .held()
            .callOn(
                transaction.connection(),
                ask(start, deadline),
                Optional::empty,
                connection -> connection.rollback(deadline.remainingMs()));
    GroupView view = watch.view(start.group());
    Result<HeldAnswer> later = Result.failure(ResultCode.ROLLED_BACK, "rolled back on request");
    TargetReply.Answered none = new TargetReply.Answered(List.of(), view.confirmed(), false);
    TargetReply.Answered answered = reply.getOrElse(none);
    End end = reply.isEmpty() ? End.CLOSE : End.CLEAN;
    return new Done(end, Result.success(answer(transaction, answered, view)), later);
  }

  private HeldAnswer answer(
      OpenTransaction transaction, TargetReply.Answered answered, GroupView view) {
    OptionalLong age = watch.ageMs(transaction.start().group(), answered.position());
    return new HeldAnswer(
        answered.rows(),
        answered.position(),
        answered.replayed(),
        transaction.start().target(),
        age.isPresent() ? Optional.of(age.getAsLong()) : Optional.empty(),
        transaction.held().queued(),
        view);
  }

  private static boolean isReplaced(Fault fault) {
    return fault.code() == ResultCode.NOT_PRIMARY;
  }

  private static Optional<Fault> passed(Deadline deadline) {
    return deadline.isPassed()
        ? Optional.of(Fault.of(ResultCode.DEADLINE_EXCEEDED, "deadline passed before dispatch"))
        : Optional.empty();
  }

  private static Ask ask(TransactionStart start, Deadline deadline) {
    return new Ask(
        start.service(), start.weight(), start.entryVm(), Lane.URGENT, deadline.remainingMs());
  }
}
