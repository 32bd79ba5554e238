package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.group.GroupWatch;
import io.lycheejunction.core.port.Access;
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

/** Runs single reads on the targets whose data their rules allow. */
final class Reads {
  private final Holders holders;
  private final GroupWatch watch;
  private final ReadTargets targets;
  private final SharedRetryBudget retries;
  private final TermWait termWait;
  private final String entryVm;

  /**
   * The rules of one read.
   *
   * @param floor the position that the data must include
   * @param maxAgeMs the largest age, in milliseconds, if the read accepts any
   * @param session the session after the read
   */
  private record Rules(LogPosition floor, Optional<Long> maxAgeMs, SessionToken session) {}

  /** What one try of the targets in turn came to. */
  private sealed interface Round {
    /** A target answered. */
    record Answered(Answer answer) implements Round {}

    /** No target answered; another round may. */
    record Failed(Fault fault, boolean mayHeal) implements Round {}
  }

  /**
   * Creates the runner of reads.
   *
   * @param holders runs statements on targets
   * @param watch knows the groups
   * @param targets orders the targets of a read
   * @param retries the budget for sending again
   * @param termWait waits between attempts
   * @param entryVm the name of this proxy's VM
   */
  Reads(
      Holders holders,
      GroupWatch watch,
      ReadTargets targets,
      SharedRetryBudget retries,
      TermWait termWait,
      String entryVm) {
    this.holders = Objects.requireNonNull(holders, "holders is null");
    this.watch = Objects.requireNonNull(watch, "watch is null");
    this.targets = Objects.requireNonNull(targets, "targets is null");
    this.retries = Objects.requireNonNull(retries, "retries is null");
    this.termWait = Objects.requireNonNull(termWait, "termWait is null");
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
    retries.firstTry();
    Attempts attempts = new Attempts();
    while (!deadline.isOver()) {
      GroupView view = watch.view(route.groupName());
      Round round =
          rules(route, call, deadline)
              .fold(
                  fault -> new Round.Failed(fault, Healing.mayHeal(fault)),
                  rules -> round(route, call, rules, view, attempts, deadline));
      switch (round) {
        case Round.Answered(Answer answer) -> {
          return answer;
        }
        case Round.Failed(Fault fault, boolean mayHeal) -> {
          attempts.record(fault, view.term());
          if (!mayHeal) {
            return end(call, attempts);
          }
        }
      }
      termWait.pause(route.groupName(), view.term(), attempts.count(), deadline);
    }
    return end(call, attempts);
  }

  private static Answer end(StatementCall call, Attempts attempts) {
    return Answer.of(attempts.isDoubtful() ? attempts.doubt() : attempts.last(), call.session());
  }

  private Result<Rules> rules(Route route, StatementCall call, Deadline deadline) {
    String group = route.groupName();
    Optional<Long> maxAgeMs =
        call.maxAgeMs()
            .map(askedMs -> Math.min(askedMs, route.service().maxAgeMs()))
            .filter(ageMs -> ageMs > 0);
    Optional<LogPosition> known = call.session().floor(group);
    if (known.isPresent() && maxAgeMs.isPresent()) {
      return Result.success(new Rules(known.get(), maxAgeMs, call.session()));
    }
    return latest(group, deadline)
        .map(
            latest -> {
              SessionToken after =
                  known.isPresent() ? call.session() : call.session().with(group, latest);
              return new Rules(known.map(latest::max).orElse(latest), maxAgeMs, after);
            });
  }

  private Result<LogPosition> latest(String group, Deadline deadline) {
    Result<LogPosition> latest = holders.floor(group, deadline.remainingMs());
    return latest instanceof Result.Failure(Fault fault) && !fault.isNotRun()
        ? Result.failure(ResultCode.PEER_UNREACHABLE, "the group's position is not known")
        : latest;
  }

  private Round round(
      Route route,
      StatementCall call,
      Rules rules,
      GroupView view,
      Attempts attempts,
      Deadline deadline) {
    Fault last = Fault.of(ResultCode.NO_PRIMARY, "no target of the group takes reads");
    Optional<Fault> telling = Optional.empty();
    boolean mayHeal = true;
    boolean resend = attempts.isDoubtful();
    for (String target : targets.order(route, view, rules.floor(), rules.maxAgeMs())) {
      if (deadline.isOver() || (resend && !retries.tryRetry())) {
        break;
      }
      long attemptMs = attempts.attemptMs(true, deadline);
      Result<HeldAnswer> result =
          holders.execute(statement(route, call, rules, view, target, attemptMs));
      if (result instanceof Result.Success(HeldAnswer answer)) {
        return new Round.Answered(done(rules, answer));
      }
      last = ((Result.Failure<HeldAnswer>) result).fault();
      attempts.record(last, view.term());
      targets.refused(target, last);
      if (!Healing.mayAnswerElsewhere(last)) {
        return new Round.Failed(last, false);
      }
      resend = !tellsOfData(last);
      mayHeal = Healing.mayHeal(last) || !last.isNotRun();
      telling = resend ? telling : Optional.of(last);
    }
    return new Round.Failed(telling.orElse(last), mayHeal);
  }

  private static boolean tellsOfData(Fault fault) {
    return fault.code() == ResultCode.AGE_NOT_PROVEN || fault.code() == ResultCode.NOT_FRESH;
  }

  private HeldStatement statement(
      Route route, StatementCall call, Rules rules, GroupView view, String target, long attemptMs) {
    return new HeldStatement(
        route.service().name(),
        route.groupName(),
        target,
        view.term(),
        Access.READ,
        call.statement(),
        Optional.empty(),
        rules.floor(),
        rules.maxAgeMs(),
        route.service().durability(),
        route.service().cutOffReads(),
        route.service().weight(),
        entryVm,
        attemptMs);
  }

  private Answer done(Rules rules, HeldAnswer answer) {
    watch.learn(answer.view());
    targets.answered(answer);
    return Answer.done(
        answer.rows(), rules.session(), false, Optional.of(answer.target()), answer.ageMs());
  }
}
