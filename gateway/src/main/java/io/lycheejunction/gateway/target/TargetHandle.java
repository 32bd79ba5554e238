package io.lycheejunction.gateway.target;

import io.lycheejunction.core.failover.Suspicion;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.pool.TargetPool;

/** A target, the connections to it, and what its answers have shown. */
public final class TargetHandle {
  private static final double SMOOTHING = 0.1;
  private static final double FIRST_LATENCY_MS = 30;
  private static final long BUSY_PAUSE_MS = 60;
  private static final long UNREACHABLE_PAUSE_MS = 400;
  private static final long LAGGING_PAUSE_MS = 150;
  private static final long OVERDUE_PAUSE_MS = 1_000;

  /** A lost packet is sent again after about 200 ms; no answer after this time is silence. */
  private static final long SILENCE_MS = 350;

  private static final long DOUBT_MS = 60;

  private Target target;
  private final TargetPool pool;
  private long claimedAtRevision;
  private double latencyMs = FIRST_LATENCY_MS;
  private long avoidUntilMs = Long.MIN_VALUE;
  private long laggingUntilMs = Long.MIN_VALUE;
  private long notPrimaryUntilRevision = Long.MIN_VALUE;
  private long provenTerm;
  private long lastAnswerMs = Long.MIN_VALUE;
  private long overdueSinceMs = Long.MIN_VALUE;
  private LogPosition applied = LogPosition.ORIGIN;
  private Suspicion suspicion;

  TargetHandle(Target target, TargetPool pool, long nowMs) {
    this.suspicion = Suspicion.unseen(nowMs);
    this.target = target;
    this.pool = pool;
    this.claimedAtRevision = target.claimsPrimary() ? target.revision() : Long.MIN_VALUE;
  }

  /**
   * Returns the target as it is registered now.
   *
   * @return the target
   */
  public Target target() {
    return target;
  }

  /**
   * Returns the connections to the target.
   *
   * @return the pool
   */
  public TargetPool pool() {
    return pool;
  }

  /**
   * Returns the smoothed time of one statement.
   *
   * @return milliseconds
   */
  public double latencyMs() {
    return latencyMs;
  }

  /**
   * Returns the latest position that the target has shown.
   *
   * @return the position
   */
  public LogPosition applied() {
    return applied;
  }

  /**
   * Returns the time of the target's last answer.
   *
   * @return milliseconds on the scheduler's clock
   */
  public long lastAnswerMs() {
    return lastAnswerMs;
  }

  /**
   * Returns whether the target should be tried only if no other can serve.
   *
   * @param nowMs the present time, in milliseconds
   * @return true if it refused or failed a moment ago
   */
  public boolean isAvoided(long nowMs) {
    return nowMs < avoidUntilMs;
  }

  /**
   * Returns whether the target's log is known to be behind.
   *
   * @param floor the position that is needed
   * @param nowMs the present time, in milliseconds
   * @return true if it refused such a position a moment ago and has not shown it since
   */
  public boolean isBehind(LogPosition floor, long nowMs) {
    return nowMs < laggingUntilMs && !applied.isAtLeast(floor);
  }

  /**
   * Returns whether the target refuses connections, or has not answered for too long a question
   * that costs it no work.
   *
   * @param nowMs the present time, in milliseconds
   * @return true if so
   */
  public boolean isGone(long nowMs) {
    return suspicion.refused() || waitedMs(nowMs) >= SILENCE_MS;
  }

  /**
   * Returns whether an answer of the target is late, so that it should be asked again.
   *
   * @param nowMs the present time, in milliseconds
   * @return true if so
   */
  public boolean isDoubtful(long nowMs) {
    return suspicion.refused() || waitedMs(nowMs) >= DOUBT_MS || overdueSinceMs > lastAnswerMs;
  }

  private long waitedMs(long nowMs) {
    return suspicion.askedMs() == Suspicion.NOT_ASKED ? 0 : nowMs - suspicion.askedMs();
  }

  /**
   * Records that the target was asked something that it answers without any work.
   *
   * @param nowMs the present time, in milliseconds
   */
  public void asked(long nowMs) {
    suspicion = suspicion.asked(nowMs);
  }

  /**
   * Records that the target has answered anything at all.
   *
   * @param nowMs the present time, in milliseconds
   */
  public void heard(long nowMs) {
    suspicion = suspicion.answered(nowMs);
    lastAnswerMs = nowMs;
  }

  /**
   * Records that a connection could not be opened.
   *
   * @param fault why
   * @param nowMs the present time, in milliseconds
   */
  public void connectFailed(Fault fault, long nowMs) {
    failed(fault, nowMs);
    boolean absent =
        fault.code() == ResultCode.TARGET_UNREACHABLE || fault.code() == ResultCode.WRONG_TARGET;
    if (absent) {
      suspicion = suspicion.refusedAt(nowMs);
    }
  }

  /**
   * Records that an answer of the target is overdue, so that others are preferred for a while.
   *
   * @param nowMs the present time, in milliseconds
   */
  public void overdue(long nowMs) {
    avoidUntilMs = nowMs + OVERDUE_PAUSE_MS;
    overdueSinceMs = nowMs;
  }

  /**
   * Records an answer.
   *
   * @param tookMs the time that the statement took, in milliseconds
   * @param position the position that the target showed
   * @param nowMs the present time, in milliseconds
   */
  public void answered(long tookMs, LogPosition position, long nowMs) {
    latencyMs += SMOOTHING * (tookMs - latencyMs);
    applied = applied.max(position);
    avoidUntilMs = Long.MIN_VALUE;
    heard(nowMs);
  }

  /**
   * Records a fault that the target or the way to it has shown.
   *
   * @param fault the fault
   * @param nowMs the present time, in milliseconds
   */
  public void failed(Fault fault, long nowMs) {
    switch (fault.code()) {
      case TARGET_BUSY, TARGET_CONNECTIONS_FULL -> avoidUntilMs = nowMs + BUSY_PAUSE_MS;
      case NOT_FRESH -> laggingUntilMs = nowMs + LAGGING_PAUSE_MS;
      case NOT_PRIMARY -> {
        notPrimaryUntilRevision = target.revision();
        provenTerm = 0;
      }
      case TARGET_UNREACHABLE, WRONG_TARGET, NO_CONNECTION, SHUTTING_DOWN ->
          avoidUntilMs = nowMs + UNREACHABLE_PAUSE_MS;
      default -> {
        // Other faults say nothing of the target itself.
      }
    }
  }

  /**
   * Records that the target has shown that it leads.
   *
   * @param term the term that it leads
   */
  public void leads(long term) {
    provenTerm = term;
  }

  /**
   * Returns the term that the target has shown to lead and has not been found to have lost.
   *
   * @return the term, or 0 if there is none
   */
  long provenTerm() {
    return provenTerm;
  }

  boolean isPrimary() {
    return provenTerm > 0 || target.claimsPrimary() && target.revision() > notPrimaryUntilRevision;
  }

  long claimedAtRevision() {
    return claimedAtRevision;
  }

  void update(Target newer) {
    if (newer.claimsPrimary() && !target.claimsPrimary()) {
      claimedAtRevision = newer.revision();
    }
    if (!newer.claimsPrimary() && target.claimsPrimary()) {
      provenTerm = 0;
    }
    target = newer;
  }
}
