package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.port.Access;
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

/** Runs single reads on the targets whose data is recent enough for the session and the caller. */
final class ReadExecutor {
  private final HolderClient holderClient;
  private final GroupMonitor monitor;
  private final ReadTargets targets;
  private final SharedRetryBudget retries;
  private final RetryWait retryWait;
  private final String entryVm;

  /**
   * The freshness that one read requires.
   *
   * @param floor the position that the data must include
   * @param maxAgeMs the maximum age of the data, in milliseconds; empty for the latest data
   * @param session the session after the read
   */
  private record Requirements(LogPosition floor, Optional<Long> maxAgeMs, SessionToken session) {}

  /** The result of trying the targets once, one after another. */
  private sealed interface RoundResult {
    /** A target answered. */
    record Answered(Answer answer) implements RoundResult {}

    /** No target answered; if the fault is transient, another round may succeed. */
    record Failed(Fault fault, boolean isTransient) implements RoundResult {}
  }

  /**
   * Creates the executor.
   *
   * @param holderClient runs statements on targets
   * @param monitor the known state of the groups
   * @param targets ranks the targets of a read
   * @param retries the retry budget of this process
   * @param retryWait waits between attempts
   * @param entryVm the name of this proxy's VM
   */
  ReadExecutor(
      HolderClient holderClient,
      GroupMonitor monitor,
      ReadTargets targets,
      SharedRetryBudget retries,
      RetryWait retryWait,
      String entryVm) {
    this.holderClient = Objects.requireNonNull(holderClient, "holderClient is null");
    this.monitor = Objects.requireNonNull(monitor, "monitor is null");
    this.targets = Objects.requireNonNull(targets, "targets is null");
    this.retries = Objects.requireNonNull(retries, "retries is null");
    this.retryWait = Objects.requireNonNull(retryWait, "retryWait is null");
    this.entryVm = Objects.requireNonNull(entryVm, "entryVm is null");
  }

  /**
   * Returns the answer to a read.
   *
   * @param route the service and its group
   * @param call the read
   * @param deadline the deadline
   * @return the answer
   */
  Answer run(Route route, StatementCall call, Deadline deadline) {
    retries.recordFirstAttempt();
    Attempts attempts = new Attempts();
    while (!deadline.isOver()) {
      GroupView view = monitor.view(route.groupName());
      RoundResult round =
          requirements(route, call, deadline)
              .fold(
                  fault -> new RoundResult.Failed(fault, RetryRules.isTransient(fault)),
                  requirements -> round(route, call, requirements, view, attempts, deadline));
      switch (round) {
        case RoundResult.Answered(Answer answer) -> {
          return answer;
        }
        case RoundResult.Failed(Fault fault, boolean isTransient) -> {
          attempts.record(fault, view.term());
          if (!isTransient) {
            return failed(call, attempts);
          }
        }
      }
      retryWait.pause(route.groupName(), view.term(), attempts.count(), deadline);
    }
    return failed(call, attempts);
  }

  private static Answer failed(StatementCall call, Attempts attempts) {
    return Answer.of(
        attempts.mayHaveRun() ? attempts.unknownOutcome() : attempts.lastFault(), call.session());
  }

  private Result<Requirements> requirements(Route route, StatementCall call, Deadline deadline) {
    String group = route.groupName();
    Optional<Long> maxAgeMs =
        call.maxAgeMs()
            .map(requestedMs -> Math.min(requestedMs, route.service().maxAgeMs()))
            .filter(ageMs -> ageMs > 0);
    Optional<LogPosition> sessionFloor = call.session().floor(group);
    if (sessionFloor.isPresent() && maxAgeMs.isPresent()) {
      return Result.success(new Requirements(sessionFloor.get(), maxAgeMs, call.session()));
    }
    return latestPosition(group, deadline)
        .map(
            latest -> {
              SessionToken sessionAfter =
                  sessionFloor.isPresent() ? call.session() : call.session().with(group, latest);
              return new Requirements(
                  sessionFloor.map(latest::max).orElse(latest), maxAgeMs, sessionAfter);
            });
  }

  private Result<LogPosition> latestPosition(String group, Deadline deadline) {
    Result<LogPosition> latest =
        holderClient.latestAcknowledgedPosition(group, deadline.remainingMs());
    return latest instanceof Result.Failure(Fault fault) && !fault.isNotRun()
        ? Result.failure(ResultCode.PEER_UNREACHABLE, "the group's position is not known")
        : latest;
  }

  private RoundResult round(
      Route route,
      StatementCall call,
      Requirements requirements,
      GroupView view,
      Attempts attempts,
      Deadline deadline) {
    Fault last = Fault.of(ResultCode.NO_PRIMARY, "no target of the group takes reads");
    Optional<Fault> freshnessFault = Optional.empty();
    boolean isTransient = true;
    boolean isRetry = attempts.mayHaveRun();
    for (String target :
        targets.order(route, view, requirements.floor(), requirements.maxAgeMs())) {
      if (deadline.isOver() || (isRetry && !retries.tryAcquireRetry())) {
        break;
      }
      long attemptMs = attempts.nextTimeoutMs(true, deadline);
      Result<HolderAnswer> result =
          holderClient.execute(statement(route, call, requirements, view, target, attemptMs));
      if (result instanceof Result.Success(HolderAnswer answer)) {
        return new RoundResult.Answered(answered(requirements, answer));
      }
      last = ((Result.Failure<HolderAnswer>) result).fault();
      attempts.record(last, view.term());
      targets.recordRefusal(target, last);
      if (!RetryRules.isRetryableOnOtherTarget(last)) {
        return new RoundResult.Failed(last, false);
      }
      isRetry = !isFreshnessFault(last);
      isTransient =
          view.primary().equals(Optional.of(target)) ? isTransientAtPrimary(last) : isTransient;
      freshnessFault = isRetry ? freshnessFault : Optional.of(last);
    }
    return new RoundResult.Failed(freshnessFault.orElse(last), isTransient);
  }

  private static boolean isTransientAtPrimary(Fault fault) {
    return !fault.isNotRun()
        || fault.code() == ResultCode.NOT_FRESH
        || RetryRules.isTransient(fault);
  }

  private static boolean isFreshnessFault(Fault fault) {
    return fault.code() == ResultCode.AGE_NOT_PROVEN || fault.code() == ResultCode.NOT_FRESH;
  }

  private HolderStatement statement(
      Route route,
      StatementCall call,
      Requirements requirements,
      GroupView view,
      String target,
      long attemptMs) {
    return new HolderStatement(
        route.service().name(),
        route.groupName(),
        target,
        view.term(),
        Access.READ,
        call.statement(),
        Optional.empty(),
        requirements.floor(),
        requirements.maxAgeMs(),
        route.service().durability(),
        route.service().cutOffReads(),
        route.service().weight(),
        entryVm,
        attemptMs);
  }

  private Answer answered(Requirements requirements, HolderAnswer answer) {
    monitor.mergeView(answer.view());
    targets.recordAnswer(answer);
    return Answer.done(
        answer.rows(), requirements.session(), false, Optional.of(answer.target()), answer.ageMs());
  }
}
