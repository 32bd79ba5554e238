package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.key.IdempotencyKey;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.session.SessionToken;
import io.lycheejunction.proxy.holder.BeginRequest;
import io.lycheejunction.proxy.holder.HolderAnswer;
import io.lycheejunction.proxy.holder.KeyAnswer;
import io.lycheejunction.proxy.holder.TransactionId;
import io.lycheejunction.proxy.holder.TransactionStep;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Runs callers' transactions, each pinned to one connection of the primary. */
final class TransactionExecutor {
  private final ExecutionContext context;
  private final KeyResolver keys;

  /**
   * Creates the executor.
   *
   * @param context what all executors share
   * @param keys determines the outcome of commits by their idempotency keys
   */
  TransactionExecutor(ExecutionContext context, KeyResolver keys) {
    this.context = Objects.requireNonNull(context, "context is null");
    this.keys = Objects.requireNonNull(keys, "keys is null");
  }

  /**
   * Begins a transaction; returns the answer with its identifier if it succeeded.
   *
   * @param route the service and its group
   * @param call the request
   * @param deadline the deadline
   * @return the answer
   */
  Answer begin(Route route, BeginCall call, Deadline deadline) {
    context.retries().recordFirstAttempt();
    Attempts attempts = new Attempts();
    while (!deadline.isOver()) {
      if (attempts.mayHaveRun() && !context.retries().tryAcquireRetry()) {
        break;
      }
      GroupView view = context.monitor().view(route.groupName());
      Result<TransactionId> result = beginOnPrimary(route, call, view, deadline);
      if (result instanceof Result.Success(TransactionId id)) {
        return Answer.done(List.of(), call.session(), false, view.primary(), Optional.empty())
            .withTransaction(id.id());
      }
      Fault fault = ((Result.Failure<TransactionId>) result).fault();
      attempts.record(fault, view.term());
      if (fault.isNotRun() && !RetryRules.isTransient(fault)) {
        break;
      }
      context.retryWait().pause(route.groupName(), view.term(), attempts.count(), deadline);
    }
    return Answer.of(
        attempts.mayHaveRun() ? attempts.unknownOutcome() : attempts.lastFault(), call.session());
  }

  private Result<TransactionId> beginOnPrimary(
      Route route, BeginCall call, GroupView view, Deadline deadline) {
    Optional<String> primary = view.primary();
    if (primary.isEmpty()) {
      return Result.failure(ResultCode.NO_PRIMARY, "no primary of the group is known");
    }
    return context
        .holderClient()
        .beginTransaction(
            new BeginRequest(
                route.service().name(),
                route.groupName(),
                primary.get(),
                view.term(),
                route.service().durability(),
                route.service().weight(),
                context.entryVm(),
                call.idleLimitMs(),
                deadline.remainingMs()));
  }

  /**
   * Returns the answer to a statement in a transaction.
   *
   * @param route the service and its group
   * @param call the transaction and the session
   * @param access the declared effect, read or write
   * @param statement the text of the statement
   * @param deadline the deadline
   * @return the answer
   */
  Answer statement(
      Route route, TransactionCall call, Access access, String statement, Deadline deadline) {
    return step(
            call,
            new TransactionStep.Action(
                TransactionStep.Kind.STATEMENT, access, statement, Optional.empty()),
            deadline)
        .fold(
            fault -> Answer.of(fault, call.session()),
            answer -> answered(route, answer, call.session()));
  }

  /**
   * Returns the answer to a rollback.
   *
   * @param route the service and its group
   * @param call the transaction and the session
   * @param deadline the deadline
   * @return the answer
   */
  Answer rollback(Route route, TransactionCall call, Deadline deadline) {
    return step(
            call,
            new TransactionStep.Action(
                TransactionStep.Kind.ROLLBACK, Access.READ, "", Optional.empty()),
            deadline)
        .fold(
            fault -> Answer.of(fault, call.session()),
            answer -> answered(route, answer, call.session()));
  }

  /**
   * Returns the answer to a commit.
   *
   * @param route the service and its group
   * @param call the transaction and the session
   * @param key the idempotency key, if any
   * @param deadline the deadline
   * @return the answer
   */
  Answer commit(
      Route route, TransactionCall call, Optional<IdempotencyKey> key, Deadline deadline) {
    Result<HolderAnswer> result =
        step(
            call,
            new TransactionStep.Action(
                TransactionStep.Kind.COMMIT, Access.READ, "", key.map(IdempotencyKey::text)),
            deadline);
    return switch (result) {
      case Result.Success(HolderAnswer answer) -> {
        SessionToken session =
            Sessions.afterCommit(
                call.session(), route.groupName(), answer.position(), answer.replayed());
        yield answered(route, answer, session);
      }
      case Result.Failure(Fault fault) ->
          key.isEmpty()
              ? Answer.of(fault, call.session())
              : resolve(route, call, key.get().text(), fault, deadline);
    };
  }

  private Result<HolderAnswer> step(
      TransactionCall call, TransactionStep.Action action, Deadline deadline) {
    return context
        .holderClient()
        .executeStep(
            new TransactionStep(
                call.transaction(), call.service(), action, deadline.remainingMs()));
  }

  private Answer answered(Route route, HolderAnswer answer, SessionToken session) {
    context.monitor().mergeView(answer.view());
    return Answer.done(
        answer.rows(), session, answer.replayed(), Optional.of(answer.target()), answer.ageMs());
  }

  private Answer resolve(
      Route route, TransactionCall call, String key, Fault fault, Deadline deadline) {
    if (!fault.isNotRun()) {
      return resolveUnknown(route, call, key, fault, deadline);
    }
    boolean mayHaveCommittedEarlier =
        fault.code() == ResultCode.UNKNOWN_TRANSACTION || RetryRules.isTransient(fault);
    if (!mayHaveCommittedEarlier) {
      return Answer.of(fault, call.session());
    }
    boolean isUnknownTransaction = fault.code() == ResultCode.UNKNOWN_TRANSACTION;
    Result<KeyAnswer> found = keys.query(route.groupName(), key, isUnknownTransaction, deadline);
    return switch (found) {
      case Result.Success(KeyAnswer answer) when answer.state() == KeyAnswer.State.RECORDED ->
          keys.answerFor(route.groupName(), call.session(), answer);
      case Result.Failure<KeyAnswer> unknown when isUnknownTransaction ->
          resolveUnknown(route, call, key, unknownOutcome(), deadline);
      default -> Answer.of(fault, call.session());
    };
  }

  private static Fault unknownOutcome() {
    return Fault.of(
        ResultCode.UNKNOWN_OUTCOME,
        "the transaction does not exist; an earlier commit with the key may have succeeded");
  }

  private Answer resolveUnknown(
      Route route, TransactionCall call, String key, Fault fault, Deadline deadline) {
    String group = route.groupName();
    int queryCount = 0;
    while (!deadline.isOver()) {
      long term = context.monitor().view(group).term();
      Result<KeyAnswer> found = keys.query(group, key, queryCount > 0, deadline);
      if (found instanceof Result.Success(KeyAnswer answer)
          && answer.state() != KeyAnswer.State.ABSENT) {
        return keys.answerFor(group, call.session(), answer);
      }
      queryCount++;
      context.retryWait().pause(group, term, queryCount, deadline);
    }
    return keys.settleLater(group, key, call.session(), fault);
  }
}
