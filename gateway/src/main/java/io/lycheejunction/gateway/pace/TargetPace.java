package io.lycheejunction.gateway.pace;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.schedule.Scheduler;
import java.util.Collections;
import java.util.EnumMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Decides how many statements this VM has in progress at one target.
 *
 * <p>With nothing in progress a statement may always be sent, so none waits for an answer that
 * never comes.
 */
public final class TargetPace {
  private static final EventLog LOG = EventLog.of(TargetPace.class);
  private static final double LATENCY_SMOOTHING = 0.2;

  /**
   * How long a write or commit without an answer counts at most, in milliseconds. One that waits
   * for a lock takes no slot, and would otherwise hold up all others at a low limit.
   */
  static final long MAX_COUNTED_MS = 300;

  private final PaceMode mode;
  private final String target;
  private final int slots;
  private final Scheduler scheduler;
  private final Map<StatementKind, LatencyTrend> trends = new EnumMap<>(StatementKind.class);
  private final RecentLatency recent = new RecentLatency();
  private final Map<StatementKind, RecentLatency> recentOfKind = new EnumMap<>(StatementKind.class);
  private ConcurrencyLimit limit;
  private SlowStart slowStart;
  private boolean slowStartLogged;

  /** The statements in progress that count, by identity. */
  private final Set<SentStatement> counted = Collections.newSetFromMap(new IdentityHashMap<>());

  private Runnable onRoom = () -> {};
  private double latencyMs;
  private long refusals;

  /** A slow start that has not ended. */
  private record SlowStart(SlowStartCause cause, long refusalsBefore, long sinceMs) {}

  private TargetPace(
      PaceMode mode, String target, int slots, Scheduler scheduler, SlowStartCause cause) {
    this.mode = Objects.requireNonNull(mode, "mode is null");
    this.target = Objects.requireNonNull(target, "target is null");
    this.slots = slots;
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
    this.limit =
        ConcurrencyLimit.startingAt(
            cause == SlowStartCause.REGISTERED_BEFORE
                ? ConcurrencyLimit.START_IF_REGISTERED_BEFORE
                : ConcurrencyLimit.START);
    this.slowStart = new SlowStart(cause, 0, scheduler.nowMs());
  }

  /**
   * Returns the pace of a target that is known from now on.
   *
   * @param mode whether it is limited
   * @param target the identifier of the target
   * @param slots the number of statements that it runs in parallel
   * @param scheduler the gateway's clock
   * @param cause whether it was registered before the process started
   * @return the pace
   */
  public static TargetPace of(
      PaceMode mode, String target, int slots, Scheduler scheduler, SlowStartCause cause) {
    return new TargetPace(mode, target, slots, scheduler, cause);
  }

  /**
   * Returns the pace of a target that is not limited.
   *
   * @param target the identifier of the target
   * @param scheduler the gateway's clock
   * @return the pace
   */
  public static TargetPace off(String target, Scheduler scheduler) {
    return new TargetPace(PaceMode.OFF, target, 1, scheduler, SlowStartCause.REGISTERED_BEFORE);
  }

  /**
   * Sets the callback that is called when there is room although no statement was answered.
   *
   * @param callback the callback
   */
  public void setRoomListener(Runnable callback) {
    onRoom = callback;
  }

  /**
   * Returns whether the target is limited.
   *
   * @return true if so
   */
  public boolean isLimited() {
    return mode == PaceMode.OBSERVED;
  }

  /**
   * Returns whether another statement may be sent to the target.
   *
   * @return true if it has room, or nothing is in progress
   */
  public boolean hasRoom() {
    return !isLimited() || inProgress() < limit.statements();
  }

  /**
   * Returns the limit.
   *
   * @return the number of statements that may be in progress
   */
  public int limit() {
    return limit.statements();
  }

  /**
   * Returns whether the limit started low and has not reached the slots of the target yet.
   *
   * @return true if the target is limited and in its slow start
   */
  public boolean isStartingSlowly() {
    return isLimited() && slowStart != null;
  }

  /**
   * Returns the number of statements that the target refused for want of a slot.
   *
   * @return the number since the target is known
   */
  public long refusals() {
    return refusals;
  }

  /**
   * Returns the expected time until a statement that arrives now is sent.
   *
   * @param ahead the number of statements that wait
   * @param connections the number of connections that this VM may have
   * @return the time in milliseconds; 0 if the statement need not wait or the target isn't limited
   */
  public double expectedWaitMs(int ahead, int connections) {
    if (!isLimited() || hasRoom() && ahead == 0) {
      return 0;
    }
    return latencyMs * (ahead + 1) / parallel(connections);
  }

  /**
   * Returns the refusal of a statement that would have to wait and can't be answered in time.
   * Nothing is refused while the limit may still double or few answers are known.
   *
   * @param ahead the number of statements that are sent before it
   * @param connections the number of connections that this VM may have
   * @param deadlineMs its time limit, in milliseconds on the scheduler's clock
   * @return the fault, or empty if it may wait or the target isn't limited
   */
  public Optional<Fault> refusalOfWait(int ahead, int connections, long deadlineMs) {
    long nowMs = scheduler.nowMs();
    if (hasRoom() || !limit.isReduced() || !recent.isKnown(nowMs)) {
      return Optional.empty();
    }
    return new WaitEstimate(ahead + 1, parallel(connections), recent.typicalMs(), ownMs(nowMs))
        .refusal(deadlineMs - nowMs, target);
  }

  /**
   * Returns the refusal of a statement that has waited and can't be answered in time any more, so
   * that it takes no slot in vain.
   *
   * @param deadlineMs its time limit, in milliseconds on the scheduler's clock
   * @return the fault; empty if it may be sent, nothing is in progress or the target isn't limited
   */
  public Optional<Fault> refusalOfSending(long deadlineMs) {
    long nowMs = scheduler.nowMs();
    if (!limit.isReduced() || inProgress() == 0 || !recent.isKnown(nowMs)) {
      return Optional.empty();
    }
    return new WaitEstimate(0, 1, 0, ownMs(nowMs)).refusal(deadlineMs - nowMs, target);
  }

  /** Returns the latency of the fastest kind, since the kind of a waiting statement is unknown. */
  private double ownMs(long nowMs) {
    return recentOfKind.entrySet().stream()
        .filter(entry -> entry.getValue().isKnown(nowMs))
        .mapToLong(entry -> entry.getValue().quantileMs(entry.getKey().mayWait() ? 0.25 : 0.5))
        .min()
        .orElse(0);
  }

  /**
   * Returns the highest of the lowest latencies of reads and writes. The wait in the target's queue
   * is the same for both, and would look long to the faster ones.
   */
  private double scaleMs(long nowMs) {
    return trends.entrySet().stream()
        .filter(entry -> entry.getKey() != StatementKind.COMMIT)
        .mapToDouble(entry -> entry.getValue().lowestMs(nowMs))
        .max()
        .orElse(0);
  }

  private int inProgress() {
    return counted.size();
  }

  private void stopCounting(SentStatement statement) {
    if (counted.remove(statement)) {
      onRoom.run();
    }
  }

  private int parallel(int connections) {
    return Math.max(1, Math.min(limit.statements(), connections));
  }

  /**
   * Records that work is sent to the target.
   *
   * @param kind the kind of work
   * @return the work, which must be passed to {@link #answered} or {@link #lost} once
   */
  public SentStatement sent(StatementKind kind) {
    SentStatement statement =
        new SentStatement(kind, scheduler.nowMs(), limit.reductions(), inProgress() + 1);
    counted.add(statement);
    logSlowStart();
    if (isLimited() && kind.mayWait()) {
      scheduler.schedule(MAX_COUNTED_MS, () -> stopCounting(statement));
    }
    return statement;
  }

  /**
   * Records the answer to a statement.
   *
   * @param statement the statement
   * @param fault the fault that the target reported, if any
   */
  public void answered(SentStatement statement, Optional<Fault> fault) {
    counted.remove(statement);
    if (!isLimited()) {
      return;
    }
    if (fault.isPresent()) {
      if (fault.get().code() == ResultCode.TARGET_BUSY) {
        refusals++;
        limit = limit.afterRefusal(statement);
        trends.values().forEach(trend -> trend.recordRefusal(scheduler.nowMs()));
        endSlowStartIfReduced(statement, "refused");
      }
      return;
    }
    long nowMs = scheduler.nowMs();
    long tookMs = nowMs - statement.sentMs();
    recent.record(tookMs, nowMs);
    if (!statement.kind().isMeasured()) {
      return;
    }
    recentOf(statement.kind()).record(tookMs, nowMs);
    latencyMs = latencyMs == 0 ? tookMs : latencyMs + LATENCY_SMOOTHING * (tookMs - latencyMs);
    LatencyTrend trend = trends.computeIfAbsent(statement.kind(), kind -> new LatencyTrend());
    trend.record(tookMs, nowMs);
    double scaleMs = Math.max(scaleMs(nowMs), trend.lowestMs(nowMs));
    limit = limit.afterAnswer(trend.level(nowMs, scaleMs), statement, slots);
    endSlowStartIfReduced(statement, "latency");
    if (slowStart != null && limit.statements() >= slots) {
      endSlowStart("slots");
    }
  }

  /**
   * Records that a statement has no answer, or that the opening of a connection has ended.
   *
   * @param statement the statement
   */
  public void lost(SentStatement statement) {
    Objects.requireNonNull(statement, "statement is null");
    counted.remove(statement);
    if (isLimited() && statement.kind().isMeasured()) {
      long nowMs = scheduler.nowMs();
      recent.recordAtLeast(nowMs - statement.sentMs(), nowMs);
      recentOf(statement.kind()).recordAtLeast(nowMs - statement.sentMs(), nowMs);
    }
  }

  private RecentLatency recentOf(StatementKind kind) {
    return recentOfKind.computeIfAbsent(kind, unknown -> new RecentLatency());
  }

  /**
   * Lowers the limit, since what is known of the target does not hold any more.
   *
   * @param cause the change of the target
   */
  public void restart(SlowStartCause cause) {
    if (!isLimited()) {
      return;
    }
    limit = limit.restarted();
    trends.values().forEach(LatencyTrend::forgetRecent);
    recent.forget();
    recentOfKind.clear();
    slowStart = new SlowStart(cause, refusals, scheduler.nowMs());
    slowStartLogged = false;
  }

  /** Logs a slow start with its first statement, since most VMs use few of the targets. */
  private void logSlowStart() {
    if (!isStartingSlowly() || slowStartLogged) {
      return;
    }
    slowStartLogged = true;
    LOG.info(
        "target_slow_start",
        "target",
        target,
        "cause",
        slowStart.cause().text(),
        "limit",
        limit.statements(),
        "in_progress",
        inProgress(),
        "latency_ms",
        Math.round(latencyMs),
        "refusals",
        refusals);
  }

  private void endSlowStartIfReduced(SentStatement statement, String reason) {
    if (slowStart != null && limit.reductions() > statement.reductions()) {
      endSlowStart(reason);
    }
  }

  private void endSlowStart(String reason) {
    LOG.info(
        "target_slow_start_ended",
        "target",
        target,
        "cause",
        slowStart.cause().text(),
        "reason",
        reason,
        "limit",
        limit.statements(),
        "slots",
        slots,
        "latency_ms",
        Math.round(latencyMs),
        "refusals",
        refusals - slowStart.refusalsBefore(),
        "took_ms",
        scheduler.nowMs() - slowStart.sinceMs());
    slowStart = null;
  }
}
