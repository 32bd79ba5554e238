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
 * <p>A read may be tried on several targets in turn, and is hedged on a second target if the first
 * is overdue. A write that was sent is retried only if the target reports that it has not run.
 */
public final class SingleStatement implements StatementAttempt.Listener {
  /** Extra time that an overdue statement may wait for a connection, in milliseconds. */
  private static final long UNSENT_EXTRA_WAIT_MS = 130;

  private final DispatchContext dispatch;
  private final StatementRequest request;
  private final Completion completion;
  private final long startedMs;
  private final Set<String> tried = new HashSet<>();
  private final List<StatementAttempt> attempts = new ArrayList<>();

  /** Selects the target of the next try. */
  private TargetSelector selector;

  private Scheduler.Timer timeoutTimer;
  private Scheduler.Timer overdueTimer;
  private StatementAttempt latestAttempt;
  private boolean ended;
  private boolean cancelled;
  private Fault lastFault;

  /**
   * Creates the execution of a statement.
   *
   * @param dispatch the components shared by all statements
   * @param request the statement
   * @param completion receives the outcome
   */
  public SingleStatement(
      DispatchContext dispatch, StatementRequest request, Completion completion) {
    this.dispatch = dispatch;
    this.selector = dispatch.selector(request, request.needsPrimary());
    this.request = request;
    this.completion = completion;
    this.startedMs = dispatch.scheduler().nowMs();
  }

  /**
   * Returns whether the statement was sent, so that it may have run.
   *
   * @return true if it was sent to at least one target or VM
   */
  public boolean isSent() {
    return attempts.stream().anyMatch(StatementAttempt::isSent);
  }

  /** Starts the statement and the timer of its time limit, which counts from the creation. */
  public void start() {
    long remainingMs = startedMs + request.route().statementTimeoutMs() - now();
    timeoutTimer = dispatch.scheduler().schedule(Math.max(0, remainingMs), this::onTimeout);
    dispatch.hedging().onStatement();
    tryNext();
  }

  /**
   * Drops the outcome of the statement, since the caller has disconnected.
   *
   * <p>A statement that was already sent may finish, so that its connection can be reused.
   */
  public void cancel() {
    cancelled = true;
    if (!ended && attempts.stream().noneMatch(StatementAttempt::isSent)) {
      finish();
      attempts.forEach(
          attempt ->
              attempt.abandon(Fault.of(ResultCode.CANCELLED, "the caller has disconnected")));
    }
  }

  @Override
  public void answered(StatementAttempt attempt, LinkReply reply) {
    if (ended) {
      return;
    }
    latestAttempt = attempt;
    finish();
    logOutcome(Optional.empty());
    if (!cancelled) {
      completion.done(reply);
    }
  }

  @Override
  public void refused(StatementAttempt attempt, Fault fault) {
    lastFault = fault;
    if (!ended && !attempt.selector().isRetriedAfter(fault) && isLastPending(attempt)) {
      fail(finalFault());
      return;
    }
    retry(attempt);
  }

  @Override
  public void failedAfterSend(StatementAttempt attempt, Fault fault) {
    if (ended) {
      return;
    }
    if (request.writes()) {
      fail(outcomeOfWrite(attempt, fault));
      return;
    }
    lastFault = fault;
    retry(attempt);
  }

  private Fault outcomeOfWrite(StatementAttempt attempt, Fault fault) {
    return fault.code() == ResultCode.TARGET_UNREACHABLE
        ? Fault.of(
            ResultCode.UNKNOWN_OUTCOME,
            "connection to "
                + attempt.target().target().id()
                + " was closed before the answer arrived")
        : fault;
  }

  private void retry(StatementAttempt attempt) {
    if (!ended && isLastPending(attempt)) {
      tryNext();
    }
  }

  private boolean isLastPending(StatementAttempt attempt) {
    return attempts.stream().allMatch(other -> other == attempt || other.isEnded());
  }

  private void tryNext() {
    if (ended) {
      return;
    }
    if (!attempts.isEmpty()) {
      selector = selector.afterRefusal();
    }
    if (attempts.size() >= selector.maxTries()) {
      fail(finalFault());
      return;
    }
    Optional<LogPosition> floor = floor();
    Optional<TargetHandle> chosen = choose(floor);
    if (chosen.isEmpty()) {
      waitForPrimary();
      return;
    }
    startAttempt(chosen.get(), floor);
  }

  private Optional<LogPosition> floor() {
    if (request.writes()) {
      return Optional.empty();
    }
    return selector.floor(request.route(), request.sessionCommit(), now());
  }

  private Optional<TargetHandle> choose(Optional<LogPosition> floor) {
    return selector.choose(request.route(), floor, tried, now());
  }

  private void startAttempt(TargetHandle target, Optional<LogPosition> floor) {
    tried.add(target.target().id());
    StatementAttempt attempt =
        new StatementAttempt(dispatch, selector, request, target, floor, this);
    attempts.add(attempt);
    latestAttempt = attempt;
    stopOverdueTimer();
    overdueTimer =
        dispatch
            .scheduler()
            .schedule(dispatch.hedging().overdueAfterMs(target), () -> onOverdue(attempt));
    attempt.start(startedMs + request.route().statementTimeoutMs());
  }

  private void onOverdue(StatementAttempt attempt) {
    if (ended || attempt.isEnded()) {
      return;
    }
    dispatch.overdueNotifier().reportOverdue(attempt.target(), now());
    if (ended) {
      return;
    }
    if (!attempt.isSent() && attempt.selector().retriesUnsentElsewhere()) {
      overdueTimer =
          dispatch.scheduler().schedule(UNSENT_EXTRA_WAIT_MS, () -> retryUnsent(attempt));
      return;
    }
    if (attempt.floor().isEmpty()) {
      return;
    }
    if (attempts.size() < selector.maxTries() && dispatch.hedging().tryHedge()) {
      hedge();
    }
  }

  /**
   * Sends a read to a second target. Only a holder that had forwarded the read sends it to the
   * primary, since it would otherwise not use its own connections.
   */
  private void hedge() {
    TargetSelector before = selector;
    selector = selector.afterRefusal();
    Optional<LogPosition> floor = floor();
    if (floor.isPresent() || selector != before) {
      choose(floor).ifPresent(target -> startAttempt(target, floor));
    }
  }

  /** Retries a statement on another target if it is still waiting for a connection. */
  private void retryUnsent(StatementAttempt attempt) {
    if (ended || attempt.isEnded() || attempt.isSent()) {
      return;
    }
    attempt.target().recordOverdue(now());
    attempt.abandon(Fault.of(ResultCode.NO_CONNECTION, "no connection became available in time"));
    retry(attempt);
  }

  /** Waits for a primary if one is expected in time, otherwise fails the statement at once. */
  private void waitForPrimary() {
    long untilMs = startedMs + dispatch.gate().maxWaitMs(request.route().statementTimeoutMs());
    boolean waits =
        dispatch
            .gate()
            .await(request.route().service(), untilMs, this::onPrimary, this::onNoPrimary);
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
      fail(finalFault());
    }
  }

  /** A refusal by quota states its own time; the others depend on when there is a primary. */
  private Fault finalFault() {
    Fault cause =
        lastFault == null ? DispatchContext.noPrimary(request.route().service()) : lastFault;
    if (cause.code() == ResultCode.QUOTA_EXCEEDED) {
      return cause;
    }
    long retryAfterMs =
        Math.max(
            dispatch.gate().expectedWaitMs(request.route().service()),
            DispatchContext.BUSY_RETRY_MS);
    return new Fault(cause.code(), cause.detail(), Math.max(cause.retryAfterMs(), retryAfterMs));
  }

  private void onTimeout() {
    Fault cause = Fault.of(ResultCode.STATEMENT_TIMEOUT, "time limit of the statement exceeded");
    if (ended) {
      abandonUnanswered(cause);
      return;
    }
    boolean sent = attempts.stream().anyMatch(attempt -> attempt.isSent() && !attempt.isEnded());
    attempts.forEach(attempt -> attempt.abandon(cause));
    if (!sent) {
      fail(
          new Fault(
              ResultCode.DEADLINE_EXCEEDED,
              "time limit exceeded before the statement was sent",
              DispatchContext.BUSY_RETRY_MS));
      return;
    }
    for (StatementAttempt attempt : attempts) {
      if (attempt.isSent()) {
        attempt.target().recordOverdue(now());
        attempt.target().pool().closeAllIdle(cause);
      }
    }
    ResultCode code = request.writes() ? ResultCode.UNKNOWN_OUTCOME : ResultCode.STATEMENT_TIMEOUT;
    fail(Fault.of(code, "no answer within the time limit"));
  }

  private void fail(Fault fault) {
    finish();
    logOutcome(Optional.of(fault));
    if (!cancelled) {
      completion.failed(fault);
    }
  }

  private void logOutcome(Optional<Fault> fault) {
    dispatch
        .statementLog()
        .write(
            new StatementLog.Entry(
                request,
                Optional.ofNullable(latestAttempt).map(attempt -> attempt.target().target().id()),
                Optional.ofNullable(latestAttempt).flatMap(StatementAttempt::floor),
                dispatch.positions().of(request.route().service()).newestAgeMs(now()),
                attempts.size(),
                now() - startedMs,
                fault));
  }

  /**
   * Ends the statement. An attempt that waits for a connection is given up; one that has a
   * connection may finish until the time limit, so that the connection can be reused.
   */
  private void finish() {
    ended = true;
    stopOverdueTimer();
    Fault cause = Fault.of(ResultCode.CANCELLED, "another attempt has ended the statement");
    attempts.stream().filter(StatementAttempt::isWaiting).forEach(other -> other.abandon(cause));
    if (attempts.stream().allMatch(StatementAttempt::isEnded)) {
      timeoutTimer.cancel();
    }
  }

  /** Closes the connections of attempts that were not answered in time. */
  private void abandonUnanswered(Fault cause) {
    for (StatementAttempt attempt : attempts) {
      if (!attempt.isEnded()) {
        attempt.target().recordOverdue(now());
        attempt.target().pool().closeAllIdle(cause);
        attempt.abandon(cause);
      }
    }
  }

  private void stopOverdueTimer() {
    if (overdueTimer != null) {
      overdueTimer.cancel();
    }
  }

  private long now() {
    return dispatch.scheduler().nowMs();
  }
}
