package io.lycheejunction.gateway.failover;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.statement.SessionState;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.pool.LinkRequest;
import io.lycheejunction.gateway.pool.LinkResult;
import io.lycheejunction.gateway.pool.PooledLink;
import io.lycheejunction.gateway.target.TargetHandle;

/**
 * Asks the primary of a service to begin a transaction, which shows that it leads, and ends that at
 * once; one question at a time.
 */
final class PrimaryProbe {
  private static final long INTERVAL_MS = 1_000;
  private static final long TIMEOUT_MS = 900;
  private static final long DOUBT_INTERVAL_MS = 100;

  private final Failover failover;
  private final String service;
  private long askedMs = Long.MIN_VALUE / 2;
  private boolean asking;

  PrimaryProbe(Failover failover, String service) {
    this.failover = failover;
    this.service = service;
  }

  /** Asks if the primary is in doubt, or if its last proof has grown old. */
  void askIfDue(TargetHandle handle) {
    boolean doubtful = handle.isDoubtful(now());
    long proofAgeMs = failover.positions().of(service).newestAgeMs(now());
    boolean due = doubtful || proofAgeMs > INTERVAL_MS;
    long pauseMs = doubtful ? DOUBT_INTERVAL_MS : INTERVAL_MS;
    if (due && now() - askedMs >= pauseMs) {
      ask(handle);
    }
  }

  /** Asks now, unless a question is open. */
  void ask(TargetHandle handle) {
    if (!asking) {
      asking = true;
      askedMs = now();
      handle.pool().acquire(new Question(handle));
    }
  }

  private long now() {
    return failover.scheduler().nowMs();
  }

  private final class Question implements LinkRequest {
    private final TargetHandle handle;
    private final long startedMs = now();

    private Question(TargetHandle handle) {
      this.handle = handle;
    }

    @Override
    public SessionState session() {
      return SessionState.empty();
    }

    @Override
    public int priority() {
      return QUESTION;
    }

    @Override
    public long untilMs() {
      return startedMs + TIMEOUT_MS;
    }

    @Override
    public void granted(PooledLink link) {
      long sentMs = now();
      handle.asked(sentMs);
      link.runAndRollBack(
          SessionState.empty(),
          TargetCommand.own(new CallerStatement.Begin(false)),
          result -> onResult(link, sentMs, result));
      failover.scheduler().schedule(TIMEOUT_MS, () -> giveUp(link));
    }

    @Override
    public void refused(Fault fault) {
      asking = false;
    }

    private void giveUp(PooledLink link) {
      if (asking && askedMs == startedMs) {
        link.abandon(Fault.of(ResultCode.TARGET_UNREACHABLE, "no answer to a probe"));
      }
    }

    private void onResult(PooledLink link, long sentMs, LinkResult result) {
      asking = false;
      if (result instanceof LinkResult.Replied(LinkReply reply)) {
        handle.heard(now());
        link.release();
        reply.fault().ifPresent(fault -> handle.failed(fault, now()));
        if (reply.isDone() && reply.state() == TransactionState.OPEN) {
          reply
              .position()
              .ifPresent(position -> failover.positions().of(service).record(sentMs, position));
        }
      }
    }
  }
}
