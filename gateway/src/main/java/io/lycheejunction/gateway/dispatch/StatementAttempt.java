package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.pool.LinkRequest;
import io.lycheejunction.gateway.pool.LinkResult;
import io.lycheejunction.gateway.pool.PooledLink;
import io.lycheejunction.gateway.target.TargetHandle;
import java.util.Optional;

/**
 * One attempt to run a statement on one target.
 *
 * <p>With a floor the statement is sent at once, and the target refuses it if its log has not
 * reached the floor. A read without a floor is sent inside a transaction that the gateway begins:
 * only the primary confirms the begin, so the read is sent after that. A write is sent at once.
 */
final class StatementAttempt implements BeginAttempt.Listener {

  /** Receives the outcome of the attempt, exactly once. */
  interface Listener {

    /** The statement ran; {@code reply} is the target's complete answer. */
    void answered(StatementAttempt attempt, LinkReply reply);

    /** The statement has not run on this target and will not run on it. */
    void refused(StatementAttempt attempt, Fault fault);

    /** The statement was sent and may have run, but it has no usable answer. */
    void failedAfterSend(StatementAttempt attempt, Fault fault);
  }

  private final DispatchContext dispatch;
  private final TargetSelector selector;
  private final StatementRequest statementRequest;
  private final TargetHandle target;
  private final Optional<LogPosition> floor;
  private final Listener listener;
  private Optional<BeginAttempt> beginAttempt = Optional.empty();
  private LinkRequest request;
  private PooledLink link;
  private long untilMs;
  private long sentMs;
  private boolean sent;
  private boolean ended;

  StatementAttempt(
      DispatchContext dispatch,
      TargetSelector selector,
      StatementRequest statementRequest,
      TargetHandle target,
      Optional<LogPosition> floor,
      Listener listener) {
    this.dispatch = dispatch;
    this.selector = selector;
    this.statementRequest = statementRequest;
    this.target = target;
    this.floor = floor;
    this.listener = listener;
  }

  TargetHandle target() {
    return target;
  }

  TargetSelector selector() {
    return selector;
  }

  Optional<LogPosition> floor() {
    return floor;
  }

  boolean isSent() {
    return sent;
  }

  /** Returns whether the attempt waits for a connection on which to send its statement at once. */
  boolean isWaiting() {
    return request != null;
  }

  boolean isEnded() {
    return ended;
  }

  /** Starts the attempt, whose statement has to be answered by {@code untilMs}. */
  void start(long untilMs) {
    this.untilMs = untilMs;
    if (!statementRequest.writes() && floor.isEmpty()) {
      BeginAttempt attempt =
          new BeginAttempt(
              dispatch,
              selector,
              statementRequest,
              target,
              floor,
              new CallerStatement.Begin(false),
              this);
      beginAttempt = Optional.of(attempt);
      attempt.start(untilMs);
      return;
    }
    request =
        new CallbackLinkRequest(
            statementRequest.session(),
            statementRequest.organisation(),
            statementRequest.route().priority(),
            untilMs,
            this::onGranted,
            this::refused);
    target.pool().acquire(request);
  }

  /** Ends the attempt without notifying its listener. */
  void abandon(Fault cause) {
    if (ended) {
      return;
    }
    ended = true;
    beginAttempt.ifPresent(attempt -> attempt.cancel(cause));
    if (request != null) {
      target.pool().cancel(request);
      request = null;
    }
    PooledLink used = link;
    link = null;
    if (used != null) {
      used.abandon(cause);
    }
  }

  @Override
  public void begun(PooledLink begunOn) {
    beginAttempt = Optional.empty();
    send(begunOn, true);
  }

  @Override
  public void refused(Fault fault) {
    request = null;
    beginAttempt = Optional.empty();
    ended = true;
    if (selector.isRetriedAfter(fault)) {
      target.recordFault(fault, now());
    }
    listener.refused(this, fault);
  }

  private void onGranted(PooledLink granted) {
    request = null;
    send(granted, false);
  }

  private void send(PooledLink used, boolean rollBack) {
    if (!selector.isUsable(target, floor, now())) {
      returnUnused(used, rollBack);
      refused(DispatchContext.primaryNotUsable(target.target()));
      return;
    }
    link = used;
    sentMs = now();
    sent = true;
    selector
        .forTarget(statementRequest, untilMs - sentMs)
        .send(used, floor, rollBack, result -> onResult(used, result));
  }

  private static void returnUnused(PooledLink used, boolean inTransaction) {
    if (inTransaction) {
      used.rollBackAndRelease();
    } else {
      used.release();
    }
  }

  private void onResult(PooledLink used, LinkResult result) {
    if (link != used) {
      return;
    }
    link = null;
    switch (result) {
      case LinkResult.Lost lost -> endFailed(lost.cause());
      case LinkResult.Replied replied -> {
        used.release();
        onReply(replied.reply());
      }
    }
  }

  private void onReply(LinkReply reply) {
    target.recordAnswer(now());
    if (reply.fault().isPresent()) {
      Fault fault = reply.fault().get();
      if (fault.isNotRun()) {
        refused(fault);
      } else {
        endFailed(fault);
      }
      return;
    }
    target.recordStatement(now() - sentMs, StatementRequest.positionOf(reply), now());
    if (statementRequest.writes() && !selector.isUsable(target, floor, now())) {
      endFailed(DispatchContext.answeredTooLate(target.target()));
      return;
    }
    if (statementRequest.writes()) {
      dispatch.recordProvenPosition(target, reply, sentMs);
    }
    ended = true;
    listener.answered(this, reply);
  }

  private void endFailed(Fault fault) {
    ended = true;
    target.recordFault(fault, now());
    listener.failedAfterSend(this, fault);
  }

  private long now() {
    return dispatch.scheduler().nowMs();
  }
}
