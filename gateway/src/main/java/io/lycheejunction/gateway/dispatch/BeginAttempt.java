package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.pool.LinkRequest;
import io.lycheejunction.gateway.pool.LinkResult;
import io.lycheejunction.gateway.pool.PooledLink;
import io.lycheejunction.gateway.target.TargetHandle;
import java.util.Optional;

/**
 * One attempt to begin a transaction on one target.
 *
 * <p>With a floor the transaction is read-only, and the target refuses it if its log has not
 * reached the floor. Without a floor the target refuses it unless it is the primary, so a
 * confirmation also proves the log position in the reply.
 */
final class BeginAttempt {

  /** Receives the outcome of the attempt, exactly once. */
  interface Listener {

    /** The target began the transaction on the given connection. */
    void begun(PooledLink link);

    /** The target did not begin the transaction. */
    void refused(Fault fault);
  }

  private final DispatchContext dispatch;
  private final TargetSelector selector;
  private final StatementRequest statementRequest;
  private final TargetHandle target;
  private final Optional<LogPosition> floor;
  private final CallerStatement.Begin begin;
  private final Listener listener;
  private LinkRequest request;
  private PooledLink link;
  private long sentMs;

  BeginAttempt(
      DispatchContext dispatch,
      TargetSelector selector,
      StatementRequest statementRequest,
      TargetHandle target,
      Optional<LogPosition> floor,
      CallerStatement.Begin begin,
      Listener listener) {
    this.dispatch = dispatch;
    this.selector = selector;
    this.statementRequest = statementRequest;
    this.target = target;
    this.floor = floor;
    this.begin = begin;
    this.listener = listener;
  }

  /** Starts the attempt, which waits for a connection until {@code untilMs}. */
  void start(long untilMs) {
    request =
        new CallbackLinkRequest(
            statementRequest.session(),
            statementRequest.organisation(),
            statementRequest.route().priority(),
            untilMs,
            this::onGranted,
            this::onNoLink);
    target.pool().acquire(request);
  }

  /** Ends the attempt without notifying its listener. */
  void cancel(Fault cause) {
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

  private void onGranted(PooledLink granted) {
    request = null;
    if (!selector.isUsable(target, floor, now())) {
      granted.release();
      notifyRefused(DispatchContext.primaryNotUsable(target.target()));
      return;
    }
    link = granted;
    sentMs = now();
    target.recordRequest(sentMs);
    TargetCommand command =
        new TargetCommand.Run(
            Optional.empty(),
            floor,
            begin,
            Optional.of(statementRequest.route()),
            statementRequest.organisation());
    granted.run(statementRequest.session(), command, result -> onResult(granted, result));
    dispatch.scheduler().schedule(DispatchContext.BEGIN_TIMEOUT_MS, () -> onTimeout(granted));
  }

  private void onNoLink(Fault fault) {
    request = null;
    notifyRefused(fault);
  }

  private void onTimeout(PooledLink used) {
    if (link == used) {
      Fault cause =
          Fault.of(ResultCode.TARGET_UNREACHABLE, "no answer to BEGIN within the time limit");
      target.pool().closeAllIdle(cause);
      used.abandon(cause);
    }
  }

  private void onResult(PooledLink used, LinkResult result) {
    if (link != used) {
      return;
    }
    link = null;
    switch (result) {
      case LinkResult.Lost lost -> notifyRefused(lost.cause());
      case LinkResult.Replied replied -> onReply(used, replied.reply());
    }
  }

  private void onReply(PooledLink used, LinkReply reply) {
    target.recordAnswer(now());
    if (reply.isDone() && !selector.isUsable(target, floor, now())) {
      used.rollBackAndRelease();
      notifyRefused(DispatchContext.primaryNotUsable(target.target()));
      return;
    }
    if (reply.isDone() && reply.state() == TransactionState.OPEN) {
      if (floor.isEmpty()) {
        dispatch.recordProvenPosition(target, reply, sentMs);
      }
      listener.begun(used);
      return;
    }
    Fault fault =
        reply
            .fault()
            .orElse(
                Fault.of(
                    ResultCode.TARGET_UNREACHABLE, "the target did not begin the transaction"));
    if (reply.state() == TransactionState.NONE && !reply.isDone()) {
      used.release();
    } else {
      used.abandon(fault);
    }
    notifyRefused(fault);
  }

  private void notifyRefused(Fault fault) {
    target.recordFault(fault, now());
    listener.refused(fault);
  }

  private long now() {
    return dispatch.scheduler().nowMs();
  }
}
