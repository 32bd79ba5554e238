package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.pool.LinkResult;
import io.lycheejunction.gateway.pool.PooledLink;
import io.lycheejunction.gateway.route.ReadRule;
import io.lycheejunction.gateway.route.Route;
import io.lycheejunction.gateway.schedule.Scheduler;
import io.lycheejunction.gateway.target.TargetHandle;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * A transaction of a session, pinned to one connection from its first statement to its end.
 *
 * <p>The transaction begins on the target when its first statement arrives. The statement is sent
 * only after the target has confirmed the begin, so that it can't run outside the transaction.
 */
public final class Transaction {
  private final DispatchContext dispatch;
  private final Route route;
  private final boolean readOnly;
  private final Set<String> tried = new HashSet<>();
  private TargetSelector selector;
  private TargetHandle target;
  private PooledLink link;
  private Optional<BeginAttempt> beginAttempt = Optional.empty();
  private StatementRun currentRun;
  private Optional<LogPosition> floor = Optional.empty();
  private boolean begun;
  private boolean hasWritten;
  private boolean failed;
  private boolean callerGone;

  /** One statement of the transaction, from its start to its outcome. */
  private final class StatementRun {
    private final StatementRequest request;
    private final Completion completion;
    private final long startedMs;
    private final Scheduler.Timer timeoutTimer;
    private long sentMs;
    private int tries;
    private boolean sent;

    private StatementRun(StatementRequest request, Completion completion) {
      this.request = request;
      this.completion = completion;
      this.startedMs = now();
      this.timeoutTimer =
          dispatch.scheduler().schedule(route.statementTimeoutMs(), () -> onTimeout(this));
    }
  }

  /**
   * Creates a transaction that has not begun on any target yet.
   *
   * @param dispatch the components shared by all statements
   * @param route the route in force when the transaction begins
   * @param readOnly true if the transaction only reads
   */
  public Transaction(DispatchContext dispatch, Route route, boolean readOnly) {
    this.dispatch = dispatch;
    this.route = route;
    this.readOnly = readOnly;
  }

  /**
   * Returns the route that was in force when the transaction began.
   *
   * @return the route
   */
  public Route route() {
    return route;
  }

  /**
   * Returns whether a target has begun the transaction.
   *
   * @return true if a statement of it may have been sent
   */
  public boolean isBegun() {
    return begun;
  }

  /**
   * Returns whether the transaction has failed, so that it can only be rolled back.
   *
   * @return true if so
   */
  public boolean isFailed() {
    return failed;
  }

  /**
   * Returns the state to report to the caller together with a fault.
   *
   * @return {@code OPEN} or {@code FAILED}
   */
  public TransactionState state() {
    return failed ? TransactionState.FAILED : TransactionState.OPEN;
  }

  /**
   * Runs a statement in the transaction, or its commit.
   *
   * @param request the statement or the commit
   * @param completion receives the outcome
   */
  public void run(StatementRequest request, Completion completion) {
    currentRun = new StatementRun(request, completion);
    if (begun) {
      sendStatement();
    } else {
      tryBegin();
    }
  }

  /**
   * Rolls back for a caller that has disconnected.
   *
   * <p>A statement that still runs may finish first; its outcome is dropped.
   */
  public void rollBack() {
    failed = true;
    callerGone = true;
    cancelBeginAttempt(Fault.of(ResultCode.CANCELLED, "the caller has disconnected"));
    if (currentRun != null && link == null) {
      endRun();
    }
    if (currentRun == null) {
      releaseLink();
    }
  }

  /** Fails the transaction and frees its connection, unless a statement of it is running. */
  public void expire() {
    if (currentRun == null && !failed) {
      failed = true;
      releaseLink();
    }
  }

  private void tryBegin() {
    boolean first = currentRun.tries == 0;
    selector = first ? dispatch.selector(currentRun.request, true) : selector.afterRefusal();
    if (currentRun.tries >= selector.maxTries()) {
      fail(
          new Fault(
              ResultCode.NO_PRIMARY,
              "no target began the transaction",
              DispatchContext.BUSY_RETRY_MS));
      return;
    }
    currentRun.tries++;
    floor = beginFloor();
    Optional<TargetHandle> chosen = selector.choose(route, floor, tried, now());
    if (chosen.isEmpty()) {
      waitForPrimary();
      return;
    }
    target = chosen.get();
    CallerStatement.Begin begin = selector.begin(readOnly, floor);
    BeginAttempt attempt =
        new BeginAttempt(
            dispatch, selector, currentRun.request, target, floor, begin, new BeginListener());
    beginAttempt = Optional.of(attempt);
    attempt.start(currentRun.startedMs + route.statementTimeoutMs());
  }

  private void waitForPrimary() {
    StatementRun waitingRun = currentRun;
    long untilMs = currentRun.startedMs + dispatch.gate().maxWaitMs(route.statementTimeoutMs());
    boolean waits =
        dispatch
            .gate()
            .await(
                route.service(),
                untilMs,
                () -> onPrimary(waitingRun),
                () -> onNoPrimary(waitingRun));
    if (!waits) {
      onNoPrimary(waitingRun);
    }
  }

  private void onPrimary(StatementRun waitingRun) {
    if (currentRun == waitingRun) {
      tried.clear();
      tryBegin();
    }
  }

  private void onNoPrimary(StatementRun waitingRun) {
    if (currentRun == waitingRun) {
      fail(
          new Fault(
              ResultCode.NO_PRIMARY,
              "no primary of " + route.service() + " is available",
              Math.max(
                  dispatch.gate().expectedWaitMs(route.service()), DispatchContext.BUSY_RETRY_MS)));
    }
  }

  private Optional<LogPosition> beginFloor() {
    if (!readOnly || route.readRule() instanceof ReadRule.Latest) {
      return Optional.empty();
    }
    return selector.floor(route, currentRun.request.sessionCommit(), now());
  }

  private final class BeginListener implements BeginAttempt.Listener {

    @Override
    public void begun(PooledLink begunOn) {
      beginAttempt = Optional.empty();
      link = begunOn;
      begun = true;
      sendStatement();
    }

    @Override
    public void refused(Fault fault) {
      beginAttempt = Optional.empty();
      if (!selector.isRetriedAfter(fault)) {
        fail(fault);
        return;
      }
      tried.add(target.target().id());
      tryBegin();
    }
  }

  private void sendStatement() {
    PooledLink used = link;
    if (used == null || used.isClosed()) {
      fail(new Fault(ResultCode.ROLLED_BACK, "the connection of the transaction was closed", 0));
      return;
    }
    if (!selector.isUsable(target, floor, now())) {
      fail(
          new Fault(
              ResultCode.ROLLED_BACK,
              DispatchContext.primaryNotUsable(target.target()).detail(),
              DispatchContext.BUSY_RETRY_MS));
      return;
    }
    currentRun.sent = true;
    currentRun.sentMs = now();
    if (currentRun.request.writes()) {
      hasWritten = true;
    }
    currentRun.request.send(used, Optional.empty(), false, result -> onResult(used, result));
    StatementRun sentRun = currentRun;
    dispatch
        .scheduler()
        .schedule(dispatch.hedging().overdueAfterMs(target), () -> onOverdue(sentRun));
  }

  private void onOverdue(StatementRun sentRun) {
    if (currentRun == sentRun) {
      dispatch.overdueNotifier().reportOverdue(target, now());
    }
  }

  private void onResult(PooledLink used, LinkResult result) {
    if (link != used || currentRun == null) {
      return;
    }
    switch (result) {
      case LinkResult.Lost lost -> onLost(lost.cause());
      case LinkResult.Replied replied -> onReply(replied.reply());
    }
  }

  private void onReply(LinkReply reply) {
    StatementRun ended = currentRun;
    target.recordStatement(now() - ended.sentMs, StatementRequest.positionOf(reply), now());
    boolean committedWrites = isCommit(ended) && hasWritten && reply.isDone();
    if (committedWrites && !selector.isUsable(target, floor, now())) {
      PooledLink used = link;
      link = null;
      used.release();
      fail(DispatchContext.answeredTooLate(target.target()));
      return;
    }
    if (committedWrites) {
      dispatch.recordProvenPosition(target, reply, ended.sentMs);
    }
    failed = failed || reply.state() == TransactionState.FAILED;
    logOutcome(ended, reply.fault());
    endRun();
    if (callerGone || reply.state() == TransactionState.NONE) {
      if (reply.state() == TransactionState.NONE) {
        PooledLink used = link;
        link = null;
        used.release();
      } else {
        releaseLink();
      }
    }
    if (!callerGone) {
      ended.completion.done(reply);
    }
  }

  private void onLost(Fault cause) {
    target.recordFault(cause, now());
    link = null;
    if (isCommit(currentRun) && hasWritten) {
      fail(
          Fault.of(
              ResultCode.UNKNOWN_OUTCOME, "connection was closed before the commit was answered"));
      return;
    }
    fail(
        new Fault(
            ResultCode.ROLLED_BACK,
            "connection was closed: " + cause.detail(),
            DispatchContext.BUSY_RETRY_MS));
  }

  private void onTimeout(StatementRun expired) {
    if (currentRun != expired) {
      return;
    }
    cancelBeginAttempt(
        Fault.of(ResultCode.DEADLINE_EXCEEDED, "time limit exceeded before the transaction began"));
    boolean sentBefore = expired.sent;
    PooledLink used = link;
    link = null;
    if (used != null) {
      Fault cause =
          Fault.of(
              ResultCode.STATEMENT_TIMEOUT, "time limit of a statement in a transaction exceeded");
      used.abandon(cause);
      target.pool().closeAllIdle(cause);
    }
    if (!sentBefore) {
      fail(
          new Fault(
              ResultCode.DEADLINE_EXCEEDED,
              "time limit exceeded before the statement was sent",
              DispatchContext.BUSY_RETRY_MS));
      return;
    }
    ResultCode code =
        isCommit(expired) && hasWritten ? ResultCode.UNKNOWN_OUTCOME : ResultCode.STATEMENT_TIMEOUT;
    fail(Fault.of(code, "no answer from " + target.target().id() + " within the time limit"));
  }

  private void fail(Fault fault) {
    failed = true;
    StatementRun ended = currentRun;
    logOutcome(ended, Optional.of(fault));
    endRun();
    releaseLink();
    if (!callerGone) {
      ended.completion.failed(fault);
    }
  }

  private void cancelBeginAttempt(Fault cause) {
    beginAttempt.ifPresent(attempt -> attempt.cancel(cause));
    beginAttempt = Optional.empty();
  }

  private void endRun() {
    currentRun.timeoutTimer.cancel();
    currentRun = null;
  }

  private void releaseLink() {
    PooledLink used = link;
    link = null;
    if (used != null) {
      used.rollBackAndRelease();
    }
  }

  private static boolean isCommit(StatementRun run) {
    return run.request.statement() instanceof CallerStatement.Commit;
  }

  private void logOutcome(StatementRun ended, Optional<Fault> fault) {
    dispatch
        .statementLog()
        .write(
            new StatementLog.Entry(
                ended.request,
                Optional.ofNullable(target).map(handle -> handle.target().id()),
                floor,
                dispatch.positions().of(route.service()).newestAgeMs(now()),
                ended.tries,
                now() - ended.startedMs,
                fault));
  }

  private long now() {
    return dispatch.scheduler().nowMs();
  }
}
