package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.group.GroupWatch;
import io.lycheejunction.core.key.IdempotencyKey;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.retry.SharedRetryBudget;
import io.lycheejunction.core.session.SessionToken;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.holder.HeldAnswer;
import io.lycheejunction.proxy.holder.HeldStatement;
import io.lycheejunction.proxy.holder.Holders;
import java.util.Objects;
import java.util.Optional;

/** Runs single writes on the primary, through failovers, at most once unless idempotent. */
final class Writes {
  private final Holders holders;
  private final GroupWatch watch;
  private final KeyResolver keys;
  private final SharedRetryBudget retries;
  private final TermWait termWait;
  private final String entryVm;

  /**
   * Creates the runner of writes.
   *
   * @param holders runs statements on targets
   * @param watch knows the primaries
   * @param keys resolves unknown outcomes
   * @param retries the budget for sending again
   * @param termWait waits between attempts
   * @param entryVm the name of this proxy's VM
   */
  Writes(
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
   * Returns the answer to a write.
   *
   * @param route the service and its group
   * @param call the write
   * @param deadline the deadline
   * @return the answer
   */
  Answer run(Route route, StatementCall call, Deadline deadline) {
    retries.firstTry();
    Attempts attempts = new Attempts();
    while (!deadline.isOver()) {
      if (attempts.isDoubtful() && !retries.tryRetry()) {
        pause(route, attempts, deadline);
        continue;
      }
      GroupView view = watch.view(route.groupName());
      long attemptMs = attempts.attemptMs(call.isResendable(), deadline);
      Result<HeldAnswer> result = attempt(route, call, view, attemptMs);
      if (result instanceof Result.Success(HeldAnswer answer)) {
        return done(route, call, answer);
      }
      Fault fault = ((Result.Failure<HeldAnswer>) result).fault();
      attempts.record(fault, view.term());
      if (isFinal(call, attempts, fault)) {
        break;
      }
      pause(route, attempts, deadline);
    }
    return end(route, call, attempts, deadline);
  }

  private Result<HeldAnswer> attempt(
      Route route, StatementCall call, GroupView view, long attemptMs) {
    Optional<String> primary = view.primary();
    if (primary.isEmpty()) {
      return Result.failure(ResultCode.NO_PRIMARY, "no primary of the group is known");
    }
    HeldStatement statement =
        new HeldStatement(
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
    return holders.execute(statement);
  }

  private static boolean isFinal(StatementCall call, Attempts attempts, Fault fault) {
    if (!fault.isNotRun()) {
      return !call.isResendable();
    }
    if (fault.code() == ResultCode.WAIT_TOO_LONG || fault.code() == ResultCode.DEADLINE_EXCEEDED) {
      return !attempts.wasShortened();
    }
    return !Healing.mayHeal(fault);
  }

  private void pause(Route route, Attempts attempts, Deadline deadline) {
    termWait.pause(route.groupName(), attempts.term(), attempts.count(), deadline);
  }

  private Answer done(Route route, StatementCall call, HeldAnswer answer) {
    watch.learn(answer.view());
    SessionToken session =
        Sessions.afterCommit(
            call.session(), route.groupName(), answer.position(), answer.replayed());
    return Answer.done(
        answer.rows(), session, answer.replayed(), Optional.of(answer.target()), answer.ageMs());
  }

  private Answer end(Route route, StatementCall call, Attempts attempts, Deadline deadline) {
    Fault last = attempts.last();
    if (!attempts.isDoubtful()) {
      return Answer.of(last, call.session());
    }
    if (call.key().isEmpty()) {
      return Answer.of(attempts.doubt(), call.session());
    }
    String key = call.key().get().text();
    if (last.code() == ResultCode.CANCELLED || last.code() == ResultCode.KEY_REUSED) {
      return Answer.of(last, call.session());
    }
    return keys.settle(route.groupName(), key, call.session(), attempts.doubt(), deadline);
  }
}
