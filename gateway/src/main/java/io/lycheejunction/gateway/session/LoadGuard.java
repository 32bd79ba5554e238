package io.lycheejunction.gateway.session;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.route.Route;
import io.lycheejunction.gateway.schedule.LoopLag;
import io.lycheejunction.gateway.schedule.Scheduler;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Refuses operations that would miss their latency objective because the event loop is behind.
 * Operations that have started go on.
 *
 * <p>Only an operation whose line had to wait for those of other clients is refused. Without such
 * lines the clients are not the cause of the lag, or one client alone sends more ahead than the
 * loop can handle at once, which is allowed.
 */
public final class LoadGuard {
  private static final EventLog LOG = EventLog.of(LoadGuard.class);

  /**
   * How long operations are refused before the platform should send callers elsewhere, and how long
   * none is refused before the refusals count as ended, in milliseconds.
   */
  static final long SUSTAINED_MS = 1_000;

  private final Scheduler scheduler;
  private final LoopLag lag;
  private final SplittableRandom jitter;
  private boolean contended;
  private long lineAgeMs;
  private boolean refusing;
  private long refusingSinceMs;
  private long lastRefusalMs;
  private double maxLagMs;
  private long refusedBefore;
  private long refused;

  /**
   * Creates a guard.
   *
   * @param scheduler the clock and the timers of the event loop
   * @param lag how far the event loop is behind
   * @param seed the seed of the jitter of retry delays
   */
  public LoadGuard(Scheduler scheduler, LoopLag lag, long seed) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
    this.lag = Objects.requireNonNull(lag, "lag is null");
    this.jitter = new SplittableRandom(seed);
  }

  /**
   * Returns a guard that refuses nothing.
   *
   * @param scheduler the clock
   * @return the guard
   */
  public static LoadGuard off(Scheduler scheduler) {
    return new LoadGuard(scheduler, new LoopLag(scheduler, 1), 0);
  }

  /**
   * Handles a line that had to wait for lines of other clients.
   *
   * @param ageMs how long it has waited as the first line of its client, in milliseconds
   * @param task handles the line
   */
  public void handleContended(long ageMs, Runnable task) {
    contended = true;
    lineAgeMs = ageMs;
    try {
      task.run();
    } finally {
      contended = false;
      lineAgeMs = 0;
    }
  }

  /**
   * Decides whether an operation may start.
   *
   * @param route the route of the operation, with its latency objective
   * @return the refusal, or empty if the operation may start
   */
  Optional<Fault> refusalOf(Route route) {
    boolean late = lineAgeMs >= route.latencyObjectiveMs();
    if (!contended || !late && !lag.isBehind()) {
      return Optional.empty();
    }
    double lagMs = lag.lagMs();
    long waitMs = Math.round(Math.max(lagMs, lineAgeMs) + lagMs);
    if (waitMs < route.latencyObjectiveMs()) {
      return Optional.empty();
    }
    recordRefusal(lagMs);
    return Optional.of(
        new Fault(
            ResultCode.WAIT_TOO_LONG,
            "this VM is behind, expected wait is " + waitMs + " ms",
            waitMs + jitter.nextLong(waitMs + 1)));
  }

  /**
   * Returns whether operations have been refused for so long that callers should use other VMs.
   *
   * @return true if so
   */
  public boolean isOverloaded() {
    return refusing && scheduler.nowMs() - refusingSinceMs > SUSTAINED_MS;
  }

  /**
   * Returns the number of operations that were refused.
   *
   * @return the number since the start
   */
  public long refused() {
    return refused;
  }

  private void recordRefusal(double lagMs) {
    lastRefusalMs = scheduler.nowMs();
    maxLagMs = Math.max(maxLagMs, lagMs);
    refused++;
    if (!refusing) {
      refusing = true;
      refusingSinceMs = lastRefusalMs;
      refusedBefore = refused - 1;
      LOG.warn("loop_behind", "lag_ms", Math.round(lagMs), "line_age_ms", lineAgeMs);
      scheduler.schedule(SUSTAINED_MS, this::endIfCaughtUp);
    }
  }

  private void endIfCaughtUp() {
    long nowMs = scheduler.nowMs();
    if (lag.isBehind() || nowMs - lastRefusalMs < SUSTAINED_MS) {
      scheduler.schedule(SUSTAINED_MS, this::endIfCaughtUp);
      return;
    }
    refusing = false;
    LOG.info(
        "loop_caught_up",
        "refused",
        refused - refusedBefore,
        "max_lag_ms",
        Math.round(maxLagMs),
        "took_ms",
        nowMs - refusingSinceMs);
    maxLagMs = 0;
  }
}
