package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.schedule.Scheduler;
import io.lycheejunction.gateway.target.TargetHandle;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Runs one statement outside a transaction.
 *
 * <p>A read may be tried on several targets, one after the other, or a second one beside the first
 * if that is overdue. A write is sent once: after that only the target's word that it has not run
 * leads to another try.
 */
public final class SingleStatement implements Leg.Listener {
  /** How much longer an overdue statement waits for a connection, in milliseconds. */
  private static final long UNSENT_PATIENCE_MS = 130;

  private final Dispatch dispatch;
  private final Chooser chooser;
  private final Work work;
  private final Completion completion;
  private final long startedMs;
  private final Set<String> tried = new HashSet<>();
  private final List<Leg> legs = new ArrayList<>();
  private Scheduler.Timer limit;
  private Scheduler.Timer overdue;
  private Leg latest;
  private boolean ended;
  private boolean cancelled;
  private Fault lastRefusal;

  /**
   * Creates the run of a statement.
   *
   * @param dispatch what statements share
   * @param work the statement
   * @param completion is told how it ended
   */
  public SingleStatement(Dispatch dispatch, Work work, Completion completion) {
    this.dispatch = dispatch;
    this.chooser = dispatch.chooser();
    this.work = work;
    this.completion = completion;
    this.startedMs = dispatch.scheduler().nowMs();
  }

  /** Starts to run the statement. */
  public void start() {
    limit = dispatch.scheduler().schedule(work.route().statementTimeoutMs(), this::onTimeout);
    dispatch.hedging().onStatement();
    tryNext();
  }

  /**
   * Tells nobody how the statement ends, since the caller has gone.
   *
   * <p>A statement that was sent is left to end, so that its connection can be used again.
   */
  public void cancel() {
    cancelled = true;
    if (!ended && legs.stream().noneMatch(Leg::isSent)) {
      finish();
      legs.forEach(leg -> leg.abandon(Fault.of(ResultCode.CANCELLED, "the caller has gone")));
    }
  }

  @Override
  public void answered(Leg leg, LinkReply reply) {
    if (ended) {
      return;
    }
    latest = leg;
    finish();
    journal(Optional.empty());
    if (!cancelled) {
      completion.done(reply);
    }
  }

  @Override
  public void refused(Leg leg, Fault fault) {
    lastRefusal = fault;
    if (!ended && !chooser.isTriedAgainAfter(fault) && isLast(leg)) {
      fail(refusal());
      return;
    }
    retry(leg);
  }

  @Override
  public void broken(Leg leg, Fault fault) {
    if (ended) {
      return;
    }
    if (work.writes()) {
      fail(outcomeOfWrite(leg, fault));
      return;
    }
    lastRefusal = fault;
    retry(leg);
  }

  private Fault outcomeOfWrite(Leg leg, Fault fault) {
    return fault.code() == ResultCode.TARGET_UNREACHABLE
        ? Fault.of(
            ResultCode.UNKNOWN_OUTCOME,
            "connection to " + leg.target().target().id() + " ended before the answer")
        : fault;
  }

  private void retry(Leg leg) {
    if (!ended && isLast(leg)) {
      tryNext();
    }
  }

  private boolean isLast(Leg leg) {
    return legs.stream().allMatch(other -> other == leg || other.isEnded());
  }

  private void tryNext() {
    if (ended) {
      return;
    }
    if (legs.size() >= chooser.maxTries()) {
      fail(refusal());
      return;
    }
    Optional<LogPosition> floor = floor();
    Optional<TargetHandle> chosen = choose(floor);
    if (chosen.isEmpty()) {
      waitForPrimary();
      return;
    }
    startLeg(chosen.get(), floor);
  }

  private Optional<LogPosition> floor() {
    if (work.writes()) {
      return Optional.empty();
    }
    return chooser.floor(work.route(), work.sessionCommit(), now());
  }

  private Optional<TargetHandle> choose(Optional<LogPosition> floor) {
    return chooser.choose(work.route(), floor, tried, now());
  }

  private void startLeg(TargetHandle target, Optional<LogPosition> floor) {
    tried.add(target.target().id());
    Leg leg = new Leg(dispatch, work, target, floor, this);
    legs.add(leg);
    latest = leg;
    stopOverdueTimer();
    overdue =
        dispatch
            .scheduler()
            .schedule(dispatch.hedging().overdueAfterMs(target), () -> onOverdue(leg));
    leg.start(startedMs + work.route().statementTimeoutMs());
  }

  private void onOverdue(Leg leg) {
    if (ended || leg.isEnded()) {
      return;
    }
    dispatch.doubts().raise(leg.target(), now());
    if (ended) {
      return;
    }
    if (!leg.isSent() && chooser.leavesWaiting()) {
      overdue = dispatch.scheduler().schedule(UNSENT_PATIENCE_MS, () -> leaveWaiting(leg));
      return;
    }
    if (leg.floor().isEmpty()) {
      return;
    }
    if (legs.size() < chooser.maxTries() && dispatch.hedging().take()) {
      Optional<LogPosition> floor = floor();
      floor.flatMap(ignored -> choose(floor)).ifPresent(target -> startLeg(target, floor));
    }
  }

  /** Tries elsewhere what has waited too long for a connection and so was not sent. */
  private void leaveWaiting(Leg leg) {
    if (ended || leg.isEnded() || leg.isSent()) {
      return;
    }
    leg.target().overdue(now());
    leg.abandon(Fault.of(ResultCode.NO_CONNECTION, "no connection in time"));
    retry(leg);
  }

  /** Waits for a primary if one is expected soon enough, or refuses at once. */
  private void waitForPrimary() {
    long untilMs = startedMs + dispatch.gate().longestWaitMs(work.route().statementTimeoutMs());
    boolean waits =
        dispatch.gate().await(work.route().service(), untilMs, this::onPrimary, this::onNoPrimary);
    if (!waits) {
      onNoPrimary();
    }
  }

  private void onPrimary() {
    tried.clear();
    tryNext();
  }

  private void onNoPrimary() {
    if (!ended) {
      fail(refusal());
    }
  }

  private Fault refusal() {
    Fault cause = lastRefusal == null ? Dispatch.noPrimary(work.route().service()) : lastRefusal;
    long retryAfterMs =
        Math.max(dispatch.gate().expectedMs(work.route().service()), Dispatch.BUSY_RETRY_MS);
    return new Fault(cause.code(), cause.detail(), Math.max(cause.retryAfterMs(), retryAfterMs));
  }

  private void onTimeout() {
    if (ended) {
      return;
    }
    Fault cause = Fault.of(ResultCode.STATEMENT_TIMEOUT, "time limit of the statement");
    boolean sent = legs.stream().anyMatch(leg -> leg.isSent() && !leg.isEnded());
    legs.forEach(leg -> leg.abandon(cause));
    if (!sent) {
      fail(
          new Fault(
              ResultCode.DEADLINE_EXCEEDED,
              "time limit before the statement was sent",
              Dispatch.BUSY_RETRY_MS));
      return;
    }
    for (Leg leg : legs) {
      if (leg.isSent()) {
        leg.target().overdue(now());
        leg.target().pool().closeAllIdle(cause);
      }
    }
    ResultCode code = work.writes() ? ResultCode.UNKNOWN_OUTCOME : ResultCode.STATEMENT_TIMEOUT;
    fail(Fault.of(code, "no answer within the time limit"));
  }

  private void fail(Fault fault) {
    finish();
    journal(Optional.of(fault));
    if (!cancelled) {
      completion.failed(fault);
    }
  }

  private void journal(Optional<Fault> fault) {
    dispatch
        .journal()
        .write(
            new StatementJournal.Entry(
                work,
                Optional.ofNullable(latest).map(leg -> leg.target().target().id()),
                Optional.ofNullable(latest).flatMap(Leg::floor),
                dispatch.positions().of(work.route().service()).newestAgeMs(now()),
                legs.size(),
                now() - startedMs,
                fault));
  }

  private void finish() {
    ended = true;
    limit.cancel();
    stopOverdueTimer();
  }

  private void stopOverdueTimer() {
    if (overdue != null) {
      overdue.cancel();
    }
  }

  private long now() {
    return dispatch.scheduler().nowMs();
  }
}
