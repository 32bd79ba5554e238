package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.key.IdempotencyKey;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.session.SessionToken;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.holder.HolderAnswer;
import io.lycheejunction.proxy.holder.HolderStatement;
import java.util.Objects;
import java.util.Optional;

/**
 * Runs single writes on the primary and retries them across failovers.
 *
 * <p>A write whose outcome is unknown is retried only if it is idempotent or has an idempotency
 * key.
 */
final class WriteExecutor {
  private final ExecutionContext context;
  private final KeyResolver keys;

  /**
   * Creates the executor.
   *
   * @param context what all executors share
   * @param keys determines the outcome of writes by their idempotency keys
   */
  WriteExecutor(ExecutionContext context, KeyResolver keys) {
    this.context = Objects.requireNonNull(context, "context is null");
    this.keys = Objects.requireNonNull(keys, "keys is null");
  }

  /**
   * Returns the answer to a write.
   *
   * @param route the service and its group
   * @param call the write
   * @param deadline the deadline
   * @return the answer
   */
  Answer run(Route route, StatementCall call, Deadline deadline) {
    context.retries().recordFirstAttempt();
    Attempts attempts = new Attempts();
    while (!deadline.isOver()) {
      if (attempts.mayHaveRun() && !context.retries().tryAcquireRetry()) {
        pause(route, attempts, deadline);
        continue;
      }
      GroupView view = context.monitor().view(route.groupName());
      long attemptMs = attempts.nextTimeoutMs(call.isRetryable(), deadline);
      Result<HolderAnswer> result = attempt(route, call, view, attemptMs);
      if (result instanceof Result.Success(HolderAnswer answer)) {
        return answered(route, call, answer);
      }
      Fault fault = ((Result.Failure<HolderAnswer>) result).fault();
      attempts.record(fault, view.term());
      if (isFinal(call, attempts, fault)) {
        break;
      }
      pause(route, attempts, deadline);
    }
    return failed(route, call, attempts, deadline);
  }

  private Result<HolderAnswer> attempt(
      Route route, StatementCall call, GroupView view, long attemptMs) {
    Optional<String> primary = view.primary();
    if (primary.isEmpty()) {
      return Result.failure(ResultCode.NO_PRIMARY, "no primary of the group is known");
    }
    HolderStatement statement =
        new HolderStatement(
            route.service().name(),
            route.groupName(),
            primary.get(),
            view.term(),
            call.access(),
            call.statement(),
            call.key().map(IdempotencyKey::text),
            call.session().floor(route.groupName()).orElse(LogPosition.ORIGIN),
            Optional.empty(),
            route.service().durability(),
            route.service().cutOffReads(),
            route.service().weight(),
            context.entryVm(),
            attemptMs);
    return context.holderClient().execute(statement);
  }

  private static boolean isFinal(StatementCall call, Attempts attempts, Fault fault) {
    if (!fault.isNotRun()) {
      return !call.isRetryable();
    }
    if (fault.code() == ResultCode.WAIT_TOO_LONG || fault.code() == ResultCode.DEADLINE_EXCEEDED) {
      return !attempts.wasShortened();
    }
    return !RetryRules.isTransient(fault);
  }

  private void pause(Route route, Attempts attempts, Deadline deadline) {
    context.retryWait().pause(route.groupName(), attempts.lastTerm(), attempts.count(), deadline);
  }

  private Answer answered(Route route, StatementCall call, HolderAnswer answer) {
    context.monitor().mergeView(answer.view());
    SessionToken session =
        Sessions.afterCommit(
            call.session(), route.groupName(), answer.position(), answer.replayed());
    return Answer.done(
        answer.rows(), session, answer.replayed(), Optional.of(answer.target()), answer.ageMs());
  }

  private Answer failed(Route route, StatementCall call, Attempts attempts, Deadline deadline) {
    Fault last = attempts.lastFault();
    if (!attempts.mayHaveRun()) {
      return Answer.of(last, call.session());
    }
    if (call.key().isEmpty()) {
      return Answer.of(attempts.unknownOutcome(), call.session());
    }
    String key = call.key().get().text();
    if (last.code() == ResultCode.CANCELLED || last.code() == ResultCode.KEY_REUSED) {
      return Answer.of(last, call.session());
    }
    return keys.resolve(
        route.groupName(), key, call.session(), attempts.unknownOutcome(), deadline);
  }
}
