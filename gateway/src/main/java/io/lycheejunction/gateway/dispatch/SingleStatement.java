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
import io.lycheejunction.gateway.schedule.Scheduler;
import io.lycheejunction.gateway.target.TargetHandle;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Runs one statement outside a transaction.
 *
 * <p>A read with a proven floor goes to any target, which refuses it if its log lacks the floor.
 * Any other read runs inside a transaction of the gateway's own on the primary, since a target that
 * has lost the lead refuses to begin one. A write goes to the primary, once: after it was sent,
 * only a target's word that it has not run leads to another try.
 */
public final class SingleStatement {
  private final Dispatch dispatch;
  private final Work work;
  private final Completion completion;
  private final long startedMs;
  private final Set<String> tried = new HashSet<>();
  private Scheduler.Timer limit;
  private TargetHandle target;
  private LinkRequest request;
  private PooledLink link;
  private Optional<LogPosition> floor = Optional.empty();
  private long sentMs;
  private int tries;
  private boolean statementSent;
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
    this.work = work;
    this.completion = completion;
    this.startedMs = dispatch.scheduler().nowMs();
  }

  /** Starts to run the statement. */
  public void start() {
    limit = dispatch.scheduler().schedule(work.route().statementTimeoutMs(), this::onTimeout);
    tryNext();
  }

  /**
   * Tells nobody how the statement ends, since the caller has gone.
   *
   * <p>A statement that was sent is left to end, so that its connection can be used again.
   */
  public void cancel() {
    cancelled = true;
    if (!ended && request != null) {
      target.pool().cancel(request);
      request = null;
      finish();
    }
  }

  private void tryNext() {
    if (ended) {
      return;
    }
    if (tries >= Dispatch.MAX_TRIES) {
      fail(lastRefusal);
      return;
    }
    tries++;
    String service = work.route().service();
    floor =
        work.writes()
            ? Optional.empty()
            : dispatch
                .positions()
                .floor(service, work.route().readRule(), work.sessionCommit(), now());
    Optional<TargetHandle> chosen =
        floor.isPresent()
            ? dispatch.placement().choose(service, floor.get(), tried, now())
            : dispatch.targets().primaryOf(service);
    if (chosen.isEmpty()) {
      fail(lastRefusal == null ? Dispatch.noPrimary(service) : lastRefusal);
      return;
    }
    target = chosen.get();
    request =
        new Reach(
            work.session(),
            work.route().priority(),
            startedMs + work.route().statementTimeoutMs(),
            this::onGranted,
            this::onRefused);
    target.pool().acquire(request);
  }

  private void onGranted(PooledLink granted) {
    request = null;
    if (ended) {
      granted.release();
      return;
    }
    link = granted;
    sentMs = now();
    if (work.writes() || floor.isPresent()) {
      sendStatement(false);
      return;
    }
    link.run(
        work.session(),
        TargetCommand.own(new CallerStatement.Begin(false)),
        result -> onBegun(granted, result));
  }

  private void onBegun(PooledLink begun, LinkResult result) {
    if (link != begun) {
      return;
    }
    switch (result) {
      case LinkResult.Lost lost -> onRefusedBy(lost.cause());
      case LinkResult.Replied replied -> {
        LinkReply reply = replied.reply();
        if (reply.fault().isPresent()) {
          begun.release();
          onRefusedBy(reply.fault().get());
          return;
        }
        if (reply.state() != TransactionState.OPEN) {
          begun.abandon(Fault.of(ResultCode.TARGET_UNREACHABLE, "no transaction was begun"));
          onRefusedBy(Fault.of(ResultCode.TARGET_UNREACHABLE, "no transaction was begun"));
          return;
        }
        reply.position().ifPresent(this::recordProof);
        sendStatement(true);
      }
    }
  }

  private void sendStatement(boolean rollBack) {
    PooledLink used = link;
    statementSent = true;
    work.send(used, floor, rollBack, result -> onResult(used, result));
  }

  private void onResult(PooledLink used, LinkResult result) {
    if (link != used) {
      return;
    }
    switch (result) {
      case LinkResult.Lost lost -> onLost(lost.cause());
      case LinkResult.Replied replied -> onReply(replied.reply());
    }
  }

  private void onReply(LinkReply reply) {
    PooledLink used = link;
    link = null;
    used.release();
    if (reply.fault().isPresent()) {
      onTargetFault(reply.fault().get());
      return;
    }
    target.answered(now() - sentMs, Work.positionOf(reply), now());
    if (work.writes()) {
      reply.position().ifPresent(this::recordProof);
    }
    finish();
    journal(Optional.empty());
    if (!cancelled) {
      completion.done(reply);
    }
  }

  private void onTargetFault(Fault fault) {
    if (fault.isNotRun()) {
      statementSent = false;
      onRefusedBy(fault);
      return;
    }
    fail(fault);
  }

  private void onLost(Fault cause) {
    dispatch.noteFault(target, cause);
    link = null;
    if (work.writes()) {
      fail(
          new Fault(
              ResultCode.UNKNOWN_OUTCOME,
              "connection to "
                  + target.target().id()
                  + " ended before the answer: "
                  + cause.detail(),
              0));
      return;
    }
    statementSent = false;
    lastRefusal = unavailable(cause);
    tried.add(target.target().id());
    tryNext();
  }

  private void onRefused(Fault fault) {
    request = null;
    onRefusedBy(fault);
  }

  private void onRefusedBy(Fault fault) {
    link = null;
    if (ended) {
      return;
    }
    dispatch.noteFault(target, fault);
    tried.add(target.target().id());
    lastRefusal = unavailable(fault);
    boolean sameTarget = floor.isEmpty() && isRepeatedAtSameTarget(fault);
    if (sameTarget) {
      fail(lastRefusal);
      return;
    }
    tryNext();
  }

  /** Returns whether another try would meet the same primary in the same state. */
  private boolean isRepeatedAtSameTarget(Fault fault) {
    Optional<TargetHandle> primary = dispatch.targets().primaryOf(work.route().service());
    return primary.isPresent() && primary.get() == target;
  }

  private Fault unavailable(Fault fault) {
    long retryAfterMs = Math.max(fault.retryAfterMs(), Dispatch.BUSY_RETRY_MS);
    return new Fault(fault.code(), fault.detail(), retryAfterMs);
  }

  private void onTimeout() {
    if (ended) {
      return;
    }
    if (request != null) {
      target.pool().cancel(request);
      request = null;
    }
    if (!statementSent) {
      if (link != null) {
        abandonLink(Fault.of(ResultCode.STATEMENT_TIMEOUT, "time limit while beginning"));
      }
      fail(
          new Fault(
              ResultCode.DEADLINE_EXCEEDED,
              "time limit before the statement was sent",
              Dispatch.BUSY_RETRY_MS));
      return;
    }
    abandonLink(Fault.of(ResultCode.STATEMENT_TIMEOUT, "time limit of the statement"));
    ResultCode code = work.writes() ? ResultCode.UNKNOWN_OUTCOME : ResultCode.STATEMENT_TIMEOUT;
    fail(Fault.of(code, "no answer from " + target.target().id() + " within the time limit"));
  }

  private void abandonLink(Fault cause) {
    PooledLink used = link;
    link = null;
    used.abandon(cause);
  }

  private void recordProof(LogPosition position) {
    dispatch.positions().of(work.route().service()).record(sentMs, position);
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
                target == null ? "-" : target.target().id(),
                floor.map(LogPosition::toString).orElse("-"),
                tries,
                now() - startedMs,
                fault));
  }

  private void finish() {
    ended = true;
    limit.cancel();
  }

  private long now() {
    return dispatch.scheduler().nowMs();
  }
}
