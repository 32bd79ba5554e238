package io.lycheejunction.gateway.target;

import io.lycheejunction.core.failover.FailureDetector;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.pace.SlowStartCause;
import io.lycheejunction.gateway.pool.TargetPool;
import java.util.function.LongSupplier;

/** A target with its connection pool and its observed health, latency and log position. */
public final class TargetHandle {
  private static final double LATENCY_SMOOTHING = 0.1;
  private static final double INITIAL_LATENCY_MS = 30;
  private static final long BUSY_AVOID_MS = 60;
  private static final long UNREACHABLE_AVOID_MS = 400;
  private static final long LAGGING_AVOID_MS = 150;
  private static final long OVERDUE_AVOID_MS = 1_000;

  /** A cut between a holder and a primary lasts for seconds; a replacement takes about as long. */
  private static final long NO_PRIMARY_AVOID_MS = 1_000;

  /**
   * How long a request is unanswered until the target counts as gone, in milliseconds. A lost
   * packet is retransmitted after about 200 ms.
   */
  private static final long GONE_AFTER_MS = 350;

  /**
   * How long a request is unanswered until the target counts as cold once it answers, in
   * milliseconds; longer than a statement that is only slow.
   */
  private static final long COLD_AFTER_MS = 1_000;

  private static final long SUSPECTED_AFTER_MS = 60;

  /** How long a target that counts as gone is spared another request, in milliseconds. */
  private static final long RETRY_GONE_AFTER_MS = 500;

  private Target target;
  private final TargetPool pool;
  private final PrimaryRole role;
  private double latencyMs = INITIAL_LATENCY_MS;
  private long avoidUntilMs = Long.MIN_VALUE;
  private long unavailableUntilMs = Long.MIN_VALUE;
  private long noPrimaryUntilMs = Long.MIN_VALUE;
  private long laggingUntilMs = Long.MIN_VALUE;
  private long lastAnswerMs = Long.MIN_VALUE;
  private long lastRequestMs = Long.MIN_VALUE / 2;
  private long overdueSinceMs = Long.MIN_VALUE;
  private LogPosition applied = LogPosition.ORIGIN;
  private FailureDetector failureDetector;
  private final LongSupplier stalledMs;
  private long stalledAtRequestMs;

  TargetHandle(
      Target target,
      TargetPool pool,
      LeadershipHistory leadership,
      long nowMs,
      LongSupplier stalledMs) {
    this.stalledMs = stalledMs;
    this.failureDetector = FailureDetector.initial(nowMs);
    this.target = target;
    this.pool = pool;
    this.role = new PrimaryRole(target, leadership);
  }

  /**
   * Returns the latest registration of the target.
   *
   * @return the registration
   */
  public Target target() {
    return target;
  }

  /**
   * Returns the pool of connections to the target.
   *
   * @return the pool
   */
  public TargetPool pool() {
    return pool;
  }

  /**
   * Returns the exponentially smoothed latency of a statement.
   *
   * @return the latency, in milliseconds
   */
  public double latencyMs() {
    return latencyMs;
  }

  /**
   * Returns the highest log position that the target has reported.
   *
   * @return the position
   */
  public LogPosition applied() {
    return applied;
  }

  /**
   * Returns the time of the target's last answer.
   *
   * @return the time on the scheduler's clock, in milliseconds
   */
  public long lastAnswerMs() {
    return lastAnswerMs;
  }

  /**
   * Returns whether the target should be used only if no other is available.
   *
   * @param nowMs the present time, in milliseconds
   * @return true if it has refused or failed a request recently, or an answer is overdue
   */
  public boolean isAvoided(long nowMs) {
    return nowMs < avoidUntilMs;
  }

  /**
   * Returns whether the target is known to lag behind a log position.
   *
   * @param floor the position that is required
   * @param nowMs the present time, in milliseconds
   * @return true if it recently refused a read as not fresh and has not reported the position since
   */
  public boolean isBehind(LogPosition floor, long nowMs) {
    return nowMs < laggingUntilMs && !applied.isAtLeast(floor);
  }

  /**
   * Returns whether the target refuses connections, or has left a request that it can answer
   * without doing any work unanswered for too long.
   *
   * @param nowMs the present time, in milliseconds
   * @return true if the target counts as gone
   */
  public boolean isGone(long nowMs) {
    return failureDetector.refused() || unansweredMs(nowMs) >= GONE_AFTER_MS;
  }

  /**
   * Returns whether the target refuses connections or is late to answer, so that it should be
   * probed more often.
   *
   * @param nowMs the present time, in milliseconds
   * @return true if the target may be gone
   */
  public boolean isSuspected(long nowMs) {
    return failureDetector.refused()
        || unansweredMs(nowMs) >= SUSPECTED_AFTER_MS
        || overdueSinceMs > lastAnswerMs;
  }

  /**
   * Returns how long a request is unanswered, without the time in which this VM's event loop was
   * behind: an answer may have waited unread then.
   */
  private long unansweredMs(long nowMs) {
    if (failureDetector.pendingSinceMs() == FailureDetector.NO_PENDING_REQUEST) {
      return 0;
    }
    return Math.max(0, nowMs - failureDetector.pendingSinceMs() - behindMs());
  }

  /** Returns the time since the first unanswered request in which the event loop was behind. */
  private long behindMs() {
    return stalledMs.getAsLong() - stalledAtRequestMs;
  }

  /**
   * Records that a request was sent that the target answers without doing any work.
   *
   * @param nowMs the present time, in milliseconds
   */
  public void recordRequest(long nowMs) {
    if (failureDetector.pendingSinceMs() == FailureDetector.NO_PENDING_REQUEST) {
      stalledAtRequestMs = stalledMs.getAsLong();
    }
    failureDetector = failureDetector.afterRequest(nowMs);
    lastRequestMs = nowMs;
  }

  /**
   * Returns whether the target counts as gone and was tried a moment ago, so that another request
   * would only wait in vain.
   *
   * @param nowMs the present time, in milliseconds
   * @return true if no request should be sent to it now
   */
  public boolean isUnreachable(long nowMs) {
    return isGone(nowMs) && nowMs - lastRequestMs < RETRY_GONE_AFTER_MS;
  }

  /**
   * Returns whether the target probably can't serve a request: it is unreachable, was unreachable
   * or refused all work a moment ago, or has left an answer overdue and sent no other one since. A
   * target that is only slow or busy is available.
   *
   * @param nowMs the present time, in milliseconds
   * @return true if another target should be used
   */
  public boolean isUnavailable(long nowMs) {
    boolean silent = overdueSinceMs > lastAnswerMs && lastAnswerMs < nowMs - GONE_AFTER_MS;
    return isUnreachable(nowMs) || nowMs < unavailableUntilMs || isAvoided(nowMs) && silent;
  }

  /**
   * Returns whether the target, a holder of connections, has refused a statement a moment ago since
   * it reached no primary.
   *
   * @param nowMs the present time, in milliseconds
   * @return true if another holder should be asked for what needs the primary
   */
  public boolean lacksPrimary(long nowMs) {
    return nowMs < noPrimaryUntilMs;
  }

  /**
   * Records that an answer of any kind was received from the target.
   *
   * @param nowMs the present time, in milliseconds
   */
  public void recordAnswer(long nowMs) {
    if (failureDetector.refused() || unansweredMs(nowMs) >= COLD_AFTER_MS) {
      pool.pace().restart(SlowStartCause.REACHABLE_AGAIN);
    }
    failureDetector = failureDetector.afterAnswer(nowMs);
    lastAnswerMs = nowMs;
  }

  /**
   * Records that a connection could not be opened. The target counts as gone at once, unless the
   * event loop was behind meanwhile: the time limit of the connection may have passed unused.
   *
   * @param fault why it failed
   * @param nowMs the present time, in milliseconds
   */
  public void connectFailed(Fault fault, long nowMs) {
    recordFault(fault, nowMs);
    boolean unavailable =
        fault.code() == ResultCode.TARGET_UNREACHABLE || fault.code() == ResultCode.WRONG_TARGET;
    boolean behind = behindMs() > 0 && unansweredMs(nowMs) < GONE_AFTER_MS;
    if (unavailable && !behind) {
      failureDetector = failureDetector.afterRefusedConnection(nowMs);
    }
  }

  /**
   * Records that an answer is overdue. Other targets are preferred for the next second.
   *
   * @param nowMs the present time, in milliseconds
   */
  public void recordOverdue(long nowMs) {
    avoidUntilMs = nowMs + OVERDUE_AVOID_MS;
    overdueSinceMs = nowMs;
  }

  /**
   * Records the answer to a statement.
   *
   * @param tookMs the latency of the statement, in milliseconds
   * @param position the log position that the target reported
   * @param nowMs the present time, in milliseconds
   */
  public void recordStatement(long tookMs, LogPosition position, long nowMs) {
    latencyMs += LATENCY_SMOOTHING * (tookMs - latencyMs);
    applied = applied.max(position);
    avoidUntilMs = Long.MIN_VALUE;
    unavailableUntilMs = Long.MIN_VALUE;
    recordAnswer(nowMs);
  }

  /**
   * Records a fault of the target or of the connection to it.
   *
   * @param fault the fault
   * @param nowMs the present time, in milliseconds
   */
  public void recordFault(Fault fault, long nowMs) {
    switch (fault.code()) {
      case TARGET_BUSY, TARGET_CONNECTIONS_FULL -> avoidUntilMs = nowMs + BUSY_AVOID_MS;
      case NOT_FRESH -> laggingUntilMs = nowMs + LAGGING_AVOID_MS;
      case NOT_PRIMARY -> recordReplaced();
      case TARGET_UNREACHABLE, WRONG_TARGET, NO_CONNECTION, SHUTTING_DOWN -> {
        avoidUntilMs = nowMs + UNREACHABLE_AVOID_MS;
        unavailableUntilMs = avoidUntilMs;
      }
      case NO_PRIMARY -> noPrimaryUntilMs = nowMs + NO_PRIMARY_AVOID_MS;
      default -> {
        // Other faults do not indicate a problem of the target.
      }
    }
  }

  /**
   * Records that the target has confirmed that it is primary. An answer that names a lower term
   * than an earlier one is late.
   *
   * @param term the term in which it is primary
   */
  public void recordPrimary(long term) {
    final boolean wasPrimary = isPrimary();
    role.confirm(term);
    restartIfPromoted(wasPrimary);
  }

  /**
   * Records that the target is not the primary any more, even if it still claims to be. A later
   * registration or confirmation counts again.
   */
  public void recordReplaced() {
    role.end();
  }

  /**
   * Returns the term in which the target has confirmed that it is primary and has not since lost
   * that role.
   *
   * @return the term, or 0 if there is none
   */
  public long provenTerm() {
    return role.provenTerm();
  }

  /**
   * Returns whether the target counts as primary, by its registration or by its own confirmation.
   *
   * @return true if so; several targets may for a while
   */
  public boolean isPrimary() {
    return role.isPrimary();
  }

  /**
   * Returns the store's revision of the first registration that claims the role of the primary, of
   * those that follow each other without one that does not.
   *
   * @return the revision, lower than any other one if there is none
   */
  public long claimedAtRevision() {
    return role.claimedAtRevision();
  }

  long presumedTerm() {
    return role.presumedTerm();
  }

  void update(Target newer) {
    final boolean wasPrimary = isPrimary();
    role.register(newer);
    target = newer;
    restartIfPromoted(wasPrimary);
  }

  private void restartIfPromoted(boolean wasPrimary) {
    if (!wasPrimary && isPrimary()) {
      pool.pace().restart(SlowStartCause.PROMOTED);
    }
  }
}
