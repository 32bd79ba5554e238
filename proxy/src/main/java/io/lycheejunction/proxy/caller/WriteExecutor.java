package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.key.IdempotencyKey;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.retry.SharedRetryBudget;
import io.lycheejunction.core.session.SessionToken;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.holder.HolderAnswer;
import io.lycheejunction.proxy.holder.HolderClient;
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
  private final HolderClient holderClient;
  private final GroupMonitor monitor;
  private final KeyResolver keys;
  private final SharedRetryBudget retries;
  private final RetryWait retryWait;
  private final String entryVm;

  /**
   * Creates the executor.
   *
   * @param holderClient runs statements on targets
   * @param monitor the known primaries and terms of the groups
   * @param keys determines the outcome of writes by their idempotency keys
   * @param retries the retry budget of this process
   * @param retryWait waits between attempts
   * @param entryVm the name of this proxy's VM
   */
  WriteExecutor(
      HolderClient holderClient,
      GroupMonitor monitor,
      KeyResolver keys,
      SharedRetryBudget retries,
      RetryWait retryWait,
      String entryVm) {
    this.holderClient = Objects.requireNonNull(holderClient, "holderClient is null");
    this.monitor = Objects.requireNonNull(monitor, "monitor is null");
    this.keys = Objects.requireNonNull(keys, "keys is null");
    this.retries = Objects.requireNonNull(retries, "retries is null");
    this.retryWait = Objects.requireNonNull(retryWait, "retryWait is null");
    this.entryVm = Objects.requireNonNull(entryVm, "entryVm is null");
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
    retries.recordFirstAttempt();
    Attempts attempts = new Attempts();
    while (!deadline.isOver()) {
      if (attempts.mayHaveRun() && !retries.tryAcquireRetry()) {
        pause(route, attempts, deadline);
        continue;
      }
      GroupView view = monitor.view(route.groupName());
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
            entryVm,
            attemptMs);
    return holderClient.execute(statement);
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
    retryWait.pause(route.groupName(), attempts.lastTerm(), attempts.count(), deadline);
  }

  private Answer answered(Route route, StatementCall call, HolderAnswer answer) {
    monitor.mergeView(answer.view());
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
