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
 * One attempt to run a statement on one target.
 *
 * <p>With a floor the statement is sent at once and the target refuses it if its log lacks the
 * floor. A read without one is sent inside a transaction of the gateway's own, after the target has
 * confirmed its beginning and so that it leads. A write is sent at once.
 */
final class Leg {

  /** Is told once how the attempt ended. */
  interface Listener {

    /** The statement ran and its whole answer is here. */
    void answered(Leg leg, LinkReply reply);

    /** The statement has not run on this target and will not. */
    void refused(Leg leg, Fault fault);

    /** The statement was sent and may have run; it has no usable answer. */
    void broken(Leg leg, Fault fault);
  }

  private final Dispatch dispatch;
  private final Work work;
  private final TargetHandle target;
  private final Optional<LogPosition> floor;
  private final Listener listener;
  private LinkRequest request;
  private PooledLink link;
  private long sentMs;
  private boolean sent;
  private boolean ended;

  Leg(
      Dispatch dispatch,
      Work work,
      TargetHandle target,
      Optional<LogPosition> floor,
      Listener listener) {
    this.dispatch = dispatch;
    this.work = work;
    this.target = target;
    this.floor = floor;
    this.listener = listener;
  }

  TargetHandle target() {
    return target;
  }

  Optional<LogPosition> floor() {
    return floor;
  }

  boolean isSent() {
    return sent;
  }

  boolean isEnded() {
    return ended;
  }

  void start(long untilMs) {
    request =
        new Reach(
            work.session(), work.route().priority(), untilMs, this::onGranted, this::onNoLink);
    target.pool().acquire(request);
  }

  /** Gives up the wish for a connection; one that is in use is left to end. */
  void detach() {
    if (request != null) {
      target.pool().cancel(request);
      request = null;
      ended = true;
    }
  }

  /** Ends the attempt now; its listener is told nothing. */
  void abandon(Fault cause) {
    detach();
    if (link != null) {
      PooledLink used = link;
      link = null;
      ended = true;
      used.abandon(cause);
    }
  }

  private void onGranted(PooledLink granted) {
    request = null;
    link = granted;
    sentMs = now();
    if (work.writes() || floor.isPresent()) {
      sendStatement(false);
      return;
    }
    target.asked(sentMs);
    granted.run(
        work.session(),
        TargetCommand.own(new CallerStatement.Begin(false)),
        result -> onBegun(granted, result));
    dispatch.scheduler().schedule(Dispatch.BEGIN_TIMEOUT_MS, () -> onBeginOverdue(granted));
  }

  private void onBeginOverdue(PooledLink used) {
    if (link == used && !sent) {
      used.abandon(Fault.of(ResultCode.TARGET_UNREACHABLE, "the beginning is not answered"));
    }
  }

  private void onNoLink(Fault fault) {
    request = null;
    endRefused(fault);
  }

  private void onBegun(PooledLink begun, LinkResult result) {
    if (link != begun) {
      return;
    }
    switch (result) {
      case LinkResult.Lost lost -> endRefused(lost.cause());
      case LinkResult.Replied replied -> onBeginReply(begun, replied.reply());
    }
  }

  private void onBeginReply(PooledLink begun, LinkReply reply) {
    target.heard(now());
    if (reply.fault().isPresent()) {
      begun.release();
      endRefused(reply.fault().get());
      return;
    }
    if (reply.state() != TransactionState.OPEN) {
      Fault fault = Fault.of(ResultCode.TARGET_UNREACHABLE, "no transaction was begun");
      begun.abandon(fault);
      endRefused(fault);
      return;
    }
    reply.position().ifPresent(this::recordProof);
    sendStatement(true);
  }

  private void sendStatement(boolean rollBack) {
    PooledLink used = link;
    sent = true;
    work.send(used, floor, rollBack, result -> onResult(used, result));
  }

  private void onResult(PooledLink used, LinkResult result) {
    if (link != used) {
      return;
    }
    link = null;
    switch (result) {
      case LinkResult.Lost lost -> endBroken(lost.cause());
      case LinkResult.Replied replied -> {
        used.release();
        onReply(replied.reply());
      }
    }
  }

  private void onReply(LinkReply reply) {
    target.heard(now());
    if (reply.fault().isPresent()) {
      Fault fault = reply.fault().get();
      if (fault.isNotRun()) {
        endRefused(fault);
      } else {
        endBroken(fault);
      }
      return;
    }
    target.answered(now() - sentMs, Work.positionOf(reply), now());
    if (work.writes()) {
      reply.position().ifPresent(this::recordProof);
    }
    ended = true;
    listener.answered(this, reply);
  }

  private void endRefused(Fault fault) {
    link = null;
    ended = true;
    target.failed(fault, now());
    listener.refused(this, fault);
  }

  private void endBroken(Fault fault) {
    ended = true;
    target.failed(fault, now());
    listener.broken(this, fault);
  }

  private void recordProof(LogPosition position) {
    target.leads(position.term());
    dispatch.positions().of(work.route().service()).record(sentMs, position);
  }

  private long now() {
    return dispatch.scheduler().nowMs();
  }
}
