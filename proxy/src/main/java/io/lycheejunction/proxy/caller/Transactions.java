package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.group.GroupWatch;
import io.lycheejunction.core.key.IdempotencyKey;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.retry.SharedRetryBudget;
import io.lycheejunction.core.session.SessionToken;
import io.lycheejunction.proxy.holder.HeldAnswer;
import io.lycheejunction.proxy.holder.Holders;
import io.lycheejunction.proxy.holder.KeyAnswer;
import io.lycheejunction.proxy.holder.TransactionId;
import io.lycheejunction.proxy.holder.TransactionStart;
import io.lycheejunction.proxy.holder.TransactionStep;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Runs callers' transactions, each pinned to one connection of the primary. */
final class Transactions {
  private final Holders holders;
  private final GroupWatch watch;
  private final KeyResolver keys;
  private final SharedRetryBudget retries;
  private final TermWait termWait;
  private final String entryVm;

  /**
   * Creates the runner of transactions.
   *
   * @param holders runs transactions on targets
   * @param watch knows the primaries
   * @param keys resolves unknown outcomes
   * @param retries the budget for sending again
   * @param termWait waits between attempts
   * @param entryVm the name of this proxy's VM
   */
  Transactions(
      Holders holders,
      GroupWatch watch,
      KeyResolver keys,
      SharedRetryBudget retries,
      TermWait termWait,
      String entryVm) {
    this.holders = Objects.requireNonNull(holders, "holders is null");
    this.watch = Objects.requireNonNull(watch, "watch is null");
    this.keys = Objects.requireNonNull(keys, "keys is null");
    this.retries = Objects.requireNonNull(retries, "retries is null");
    this.termWait = Objects.requireNonNull(termWait, "termWait is null");
    this.entryVm = Objects.requireNonNull(entryVm, "entryVm is null");
  }

  /**
   * Returns the answer to the begin of a transaction, with its identifier if it is open.
   *
   * @param route the service and its group
   * @param call the begin
   * @param deadline the deadline
   * @return the answer
   */
  Answer begin(Route route, BeginCall call, Deadline deadline) {
    retries.firstTry();
    Attempts attempts = new Attempts();
    while (!deadline.isOver()) {
      if (attempts.isDoubtful() && !retries.tryRetry()) {
        break;
      }
      GroupView view = watch.view(route.groupName());
      Result<TransactionId> result = start(route, call, view, deadline);
      if (result instanceof Result.Success(TransactionId id)) {
        return Answer.done(List.of(), call.session(), false, view.primary(), Optional.empty())
            .withTransaction(id.id());
      }
      Fault fault = ((Result.Failure<TransactionId>) result).fault();
      attempts.record(fault, view.term());
      if (fault.isNotRun() && !Healing.mayHeal(fault)) {
        break;
      }
      termWait.pause(route.groupName(), view.term(), attempts.count(), deadline);
    }
    return Answer.of(attempts.isDoubtful() ? attempts.doubt() : attempts.last(), call.session());
  }

  private Result<TransactionId> start(
      Route route, BeginCall call, GroupView view, Deadline deadline) {
    Optional<String> primary = view.primary();
    if (primary.isEmpty()) {
      return Result.failure(ResultCode.NO_PRIMARY, "no primary of the group is known");
    }
    return holders.begin(
        new TransactionStart(
            route.service().name(),
            route.groupName(),
            primary.get(),
            view.term(),
            route.service().durability(),
            route.service().weight(),
            entryVm,
            call.idleLimitMs(),
            deadline.remainingMs()));
  }

  /**
   * Returns the answer to a statement in a transaction.
   *
   * @param route the service and its group
   * @param call the step
   * @param access the declared effect
   * @param statement the text of the statement
   * @param deadline the deadline
   * @return the answer
   */
  Answer statement(Route route, StepCall call, Access access, String statement, Deadline deadline) {
    return step(
            call,
            new TransactionStep.Action(
                TransactionStep.Kind.STATEMENT, access, statement, Optional.empty()),
            deadline)
        .fold(
            fault -> Answer.of(fault, call.session()),
            answer -> done(route, answer, call.session()));
  }

  /**
   * Returns the answer to a rollback.
   *
   * @param route the service and its group
   * @param call the step
   * @param deadline the deadline
   * @return the answer
   */
  Answer rollback(Route route, StepCall call, Deadline deadline) {
    return step(
            call,
            new TransactionStep.Action(
                TransactionStep.Kind.ROLLBACK, Access.READ, "", Optional.empty()),
            deadline)
        .fold(
            fault -> Answer.of(fault, call.session()),
            answer -> done(route, answer, call.session()));
  }

  /**
   * Returns the answer to a commit.
   *
   * @param route the service and its group
   * @param call the step
   * @param key the idempotency key, if any
   * @param deadline the deadline
   * @return the answer
   */
  Answer commit(Route route, StepCall call, Optional<IdempotencyKey> key, Deadline deadline) {
    Result<HeldAnswer> result =
        step(
            call,
            new TransactionStep.Action(
                TransactionStep.Kind.COMMIT, Access.READ, "", key.map(IdempotencyKey::text)),
            deadline);
    return switch (result) {
      case Result.Success(HeldAnswer answer) -> {
        SessionToken session =
            Sessions.afterCommit(
                call.session(), route.groupName(), answer.position(), answer.replayed());
        yield done(route, answer, session);
      }
      case Result.Failure(Fault fault) ->
          key.isEmpty()
              ? Answer.of(fault, call.session())
              : resolve(route, call, key.get().text(), fault, deadline);
    };
  }

  private Result<HeldAnswer> step(StepCall call, TransactionStep.Action action, Deadline deadline) {
    return holders.step(
        new TransactionStep(call.transaction(), call.service(), action, deadline.remainingMs()));
  }

  private Answer done(Route route, HeldAnswer answer, SessionToken session) {
    watch.learn(answer.view());
    return Answer.done(
        answer.rows(), session, answer.replayed(), Optional.of(answer.target()), answer.ageMs());
  }

  private Answer resolve(Route route, StepCall call, String key, Fault fault, Deadline deadline) {
    if (!fault.isNotRun()) {
      return resolveUnknown(route, call, key, fault, deadline);
    }
    boolean mayBeAnEarlierCommit =
        fault.code() == ResultCode.UNKNOWN_TRANSACTION || Healing.mayHeal(fault);
    if (!mayBeAnEarlierCommit) {
      return Answer.of(fault, call.session());
    }
    boolean transactionIsGone = fault.code() == ResultCode.UNKNOWN_TRANSACTION;
    Result<KeyAnswer> found = keys.ask(route.groupName(), key, transactionIsGone, deadline);
    return switch (found) {
      case Result.Success(KeyAnswer answer) when answer.state() == KeyAnswer.State.RECORDED ->
          keys.answer(route.groupName(), call.session(), answer);
      case Result.Failure<KeyAnswer> unknown when transactionIsGone ->
          resolveUnknown(route, call, key, doubt(), deadline);
      default -> Answer.of(fault, call.session());
    };
  }

  private static Fault doubt() {
    return Fault.of(
        ResultCode.UNKNOWN_OUTCOME,
        "the transaction is gone and an earlier commit under the key is not excluded");
  }

  private Answer resolveUnknown(
      Route route, StepCall call, String key, Fault fault, Deadline deadline) {
    String group = route.groupName();
    int asked = 0;
    while (!deadline.isOver()) {
      long term = watch.view(group).term();
      Result<KeyAnswer> found = keys.ask(group, key, asked > 0, deadline);
      if (found instanceof Result.Success(KeyAnswer answer)
          && answer.state() != KeyAnswer.State.ABSENT) {
        return keys.answer(group, call.session(), answer);
      }
      asked++;
      termWait.pause(group, term, asked, deadline);
    }
    return keys.unsettled(group, key, call.session(), fault);
  }
}
