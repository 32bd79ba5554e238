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
 * <p>The target begins it with the first statement. The statement is sent only after the target has
 * confirmed the beginning, so that it can't run outside the transaction.
 */
public final class Transaction {
  private final Dispatch dispatch;
  private final Chooser chooser;
  private final Route route;
  private final boolean readOnly;
  private final Set<String> tried = new HashSet<>();
  private TargetHandle target;
  private PooledLink link;
  private Optional<BeginAttempt> beginning = Optional.empty();
  private Run run;
  private Optional<LogPosition> floor = Optional.empty();
  private boolean begun;
  private boolean wrote;
  private boolean failed;
  private boolean left;

  /** One statement of the transaction while it runs. */
  private final class Run {
    private final Work work;
    private final Completion completion;
    private final long startedMs;
    private final Scheduler.Timer limit;
    private long sentMs;
    private int tries;
    private boolean sent;

    private Run(Work work, Completion completion) {
      this.work = work;
      this.completion = completion;
      this.startedMs = now();
      this.limit = dispatch.scheduler().schedule(route.statementTimeoutMs(), () -> onTimeout(this));
    }
  }

  /**
   * Creates a transaction that no target knows of yet.
   *
   * @param dispatch what statements share
   * @param route the route in force at its beginning
   * @param readOnly true if it only reads
   */
  public Transaction(Dispatch dispatch, Route route, boolean readOnly) {
    this.dispatch = dispatch;
    this.chooser = dispatch.chooser();
    this.route = route;
    this.readOnly = readOnly;
  }

  /**
   * Returns the route in force at the beginning.
   *
   * @return the route
   */
  public Route route() {
    return route;
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
   * Returns the state to show with a fault.
   *
   * @return open or failed
   */
  public TransactionState state() {
    return failed ? TransactionState.FAILED : TransactionState.OPEN;
  }

  /**
   * Runs a statement in the transaction, or its commit.
   *
   * @param work the statement
   * @param completion is told how it ended
   */
  public void run(Work work, Completion completion) {
    run = new Run(work, completion);
    if (begun) {
      sendStatement();
    } else {
      beginNext();
    }
  }

  /** Rolls back; nothing is told, and a statement that still runs is left to end first. */
  public void rollBack() {
    failed = true;
    left = true;
    cancelBeginning(Fault.of(ResultCode.CANCELLED, "the caller has gone"));
    if (run != null && link == null) {
      endRun();
    }
    if (run == null) {
      releaseLink();
    }
  }

  /** Fails the transaction while no statement of it runs, and frees its connection. */
  public void expire() {
    if (run == null && !failed) {
      failed = true;
      releaseLink();
    }
  }

  private void beginNext() {
    if (run.tries >= chooser.maxTries()) {
      fail(
          new Fault(
              ResultCode.NO_PRIMARY, "no target began the transaction", Dispatch.BUSY_RETRY_MS));
      return;
    }
    run.tries++;
    floor = beginFloor();
    Optional<TargetHandle> chosen = chooser.choose(route, floor, tried, now());
    if (chosen.isEmpty()) {
      waitForPrimary();
      return;
    }
    target = chosen.get();
    CallerStatement.Begin begin = chooser.begin(readOnly, floor);
    BeginAttempt attempt =
        new BeginAttempt(dispatch, run.work, target, floor, begin, new Beginning());
    beginning = Optional.of(attempt);
    attempt.start(run.startedMs + route.statementTimeoutMs());
  }

  private void waitForPrimary() {
    Run waitingRun = run;
    long untilMs = run.startedMs + dispatch.gate().longestWaitMs(route.statementTimeoutMs());
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

  private void onPrimary(Run waitingRun) {
    if (run == waitingRun) {
      tried.clear();
      beginNext();
    }
  }

  private void onNoPrimary(Run waitingRun) {
    if (run == waitingRun) {
      fail(
          new Fault(
              ResultCode.NO_PRIMARY,
              "no primary of " + route.service() + " can be used",
              Math.max(dispatch.gate().expectedMs(route.service()), Dispatch.BUSY_RETRY_MS)));
    }
  }

  private Optional<LogPosition> beginFloor() {
    if (!readOnly || route.readRule() instanceof ReadRule.Latest) {
      return Optional.empty();
    }
    return chooser.floor(route, run.work.sessionCommit(), now());
  }

  private final class Beginning implements BeginAttempt.Listener {

    @Override
    public void begun(PooledLink begunOn) {
      beginning = Optional.empty();
      link = begunOn;
      begun = true;
      sendStatement();
    }

    @Override
    public void refused(Fault fault) {
      beginning = Optional.empty();
      if (!chooser.isTriedAgainAfter(fault)) {
        fail(fault);
        return;
      }
      tried.add(target.target().id());
      beginNext();
    }
  }

  private void sendStatement() {
    PooledLink used = link;
    if (used == null || used.isClosed()) {
      fail(new Fault(ResultCode.ROLLED_BACK, "the transaction's connection has ended", 0));
      return;
    }
    run.sent = true;
    run.sentMs = now();
    if (run.work.writes()) {
      wrote = true;
    }
    run.work.send(used, Optional.empty(), false, result -> onResult(used, result));
    Run sentRun = run;
    dispatch
        .scheduler()
        .schedule(dispatch.hedging().overdueAfterMs(target), () -> onOverdue(sentRun));
  }

  private void onOverdue(Run sentRun) {
    if (run == sentRun) {
      dispatch.doubts().raise(target, now());
    }
  }

  private void onResult(PooledLink used, LinkResult result) {
    if (link != used || run == null) {
      return;
    }
    switch (result) {
      case LinkResult.Lost lost -> onLost(lost.cause());
      case LinkResult.Replied replied -> onReply(replied.reply());
    }
  }

  private void onReply(LinkReply reply) {
    Run ended = run;
    target.answered(now() - ended.sentMs, Work.positionOf(reply), now());
    if (isCommit(ended) && wrote && reply.isDone()) {
      dispatch.recordProof(target, reply, ended.sentMs);
    }
    failed = failed || reply.state() == TransactionState.FAILED;
    journal(ended, reply.fault());
    endRun();
    if (left || reply.state() == TransactionState.NONE) {
      if (reply.state() == TransactionState.NONE) {
        PooledLink used = link;
        link = null;
        used.release();
      } else {
        releaseLink();
      }
    }
    if (!left) {
      ended.completion.done(reply);
    }
  }

  private void onLost(Fault cause) {
    target.failed(cause, now());
    link = null;
    if (isCommit(run) && wrote) {
      fail(Fault.of(ResultCode.UNKNOWN_OUTCOME, "connection ended before the commit's answer"));
      return;
    }
    fail(
        new Fault(
            ResultCode.ROLLED_BACK, "connection ended: " + cause.detail(), Dispatch.BUSY_RETRY_MS));
  }

  private void onTimeout(Run expired) {
    if (run != expired) {
      return;
    }
    cancelBeginning(Fault.of(ResultCode.DEADLINE_EXCEEDED, "time limit before the beginning"));
    boolean sentBefore = expired.sent;
    PooledLink used = link;
    link = null;
    if (used != null) {
      used.abandon(Fault.of(ResultCode.STATEMENT_TIMEOUT, "time limit in a transaction"));
    }
    if (!sentBefore) {
      fail(
          new Fault(
              ResultCode.DEADLINE_EXCEEDED,
              "time limit before the statement was sent",
              Dispatch.BUSY_RETRY_MS));
      return;
    }
    ResultCode code =
        isCommit(expired) && wrote ? ResultCode.UNKNOWN_OUTCOME : ResultCode.STATEMENT_TIMEOUT;
    fail(Fault.of(code, "no answer from " + target.target().id() + " within the time limit"));
  }

  private void fail(Fault fault) {
    failed = true;
    Run ended = run;
    journal(ended, Optional.of(fault));
    endRun();
    releaseLink();
    if (!left) {
      ended.completion.failed(fault);
    }
  }

  private void cancelBeginning(Fault cause) {
    beginning.ifPresent(attempt -> attempt.cancel(cause));
    beginning = Optional.empty();
  }

  private void endRun() {
    run.limit.cancel();
    run = null;
  }

  private void releaseLink() {
    PooledLink used = link;
    link = null;
    if (used != null) {
      used.rollBackAndRelease();
    }
  }

  private static boolean isCommit(Run run) {
    return run.work.statement() instanceof CallerStatement.Commit;
  }

  private void journal(Run ended, Optional<Fault> fault) {
    dispatch
        .journal()
        .write(
            new StatementJournal.Entry(
                ended.work,
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
