package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.session.SessionToken;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.holder.HolderAnswer;
import io.lycheejunction.proxy.holder.HolderStatement;
import java.util.Objects;
import java.util.Optional;

/** Runs single reads on the targets whose data is recent enough for the session and the caller. */
final class ReadExecutor {
  private final ExecutionContext context;
  private final ReadTargets targets;

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
   * @param context what all executors share
   * @param targets ranks the targets of a read
   */
  ReadExecutor(ExecutionContext context, ReadTargets targets) {
    this.context = Objects.requireNonNull(context, "context is null");
    this.targets = Objects.requireNonNull(targets, "targets is null");
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
    context.retries().recordFirstAttempt();
    Attempts attempts = new Attempts();
    while (!deadline.isOver()) {
      GroupView view = context.monitor().view(route.groupName());
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
      context.retryWait().pause(route.groupName(), view.term(), attempts.count(), deadline);
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
        context.holderClient().latestAcknowledgedPosition(group, deadline.remainingMs());
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
      if (deadline.isOver() || (isRetry && !context.retries().tryAcquireRetry())) {
        break;
      }
      long attemptMs = attempts.nextTimeoutMs(true, deadline);
      Result<HolderAnswer> result =
          context
              .holderClient()
              .execute(statement(route, call, requirements, view, target, attemptMs));
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
        context.entryVm(),
        attemptMs);
  }

  private Answer answered(Requirements requirements, HolderAnswer answer) {
    context.monitor().mergeView(answer.view());
    targets.recordAnswer(answer);
    return Answer.done(
        answer.rows(), requirements.session(), false, Optional.of(answer.target()), answer.ageMs());
  }
}
