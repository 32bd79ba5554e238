package io.lycheejunction.core.clock;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A clock that is paused until a test advances it.
 *
 * <p>With automatic advance a sleeping thread advances the clock itself, so that single-threaded
 * tests of blocking code never wait. Actions can be scheduled for a later time; they run on the
 * thread that advances the clock, in order of time.
 */
public final class ManualClock implements RuntimeClock {
  private static final long LATCH_POLL_MS = 1;
  private static final long START_WALL_MS = 1_700_000_000_000L;

  private record Action(long atMs, Runnable body) {}

  private final boolean autoAdvance;
  private final List<Action> actions = new ArrayList<>();
  private long nowMs;

  private ManualClock(boolean autoAdvance) {
    this.autoAdvance = autoAdvance;
  }

  /** Returns a clock on which sleeping threads wait until a test advances it. */
  public static ManualClock paused() {
    return new ManualClock(false);
  }

  /** Returns a clock that a sleeping thread advances by the time it sleeps. */
  public static ManualClock advancing() {
    return new ManualClock(true);
  }

  @Override
  public synchronized long wallMs() {
    return START_WALL_MS + nowMs;
  }

  @Override
  public synchronized long monotonicMs() {
    return nowMs;
  }

  @Override
  public void sleepMs(long durationMs) throws InterruptedException {
    if (autoAdvance) {
      advanceMs(durationMs);
      return;
    }
    synchronized (this) {
      long untilMs = nowMs + durationMs;
      while (nowMs < untilMs) {
        wait();
      }
    }
  }

  @Override
  public boolean awaitMs(CountDownLatch latch, long timeoutMs) throws InterruptedException {
    if (autoAdvance) {
      return RuntimeClock.super.awaitMs(latch, timeoutMs);
    }
    long untilMs = monotonicMs() + timeoutMs;
    while (!latch.await(LATCH_POLL_MS, TimeUnit.MILLISECONDS)) {
      if (monotonicMs() >= untilMs) {
        return false;
      }
    }
    return true;
  }

  /** Schedules the action to run once the clock has advanced by the delay. */
  public synchronized void scheduleAfterMs(long delayMs, Runnable body) {
    actions.add(new Action(nowMs + delayMs, body));
  }

  /** Advances the clock, running the actions that become due, and wakes sleeping threads. */
  public void advanceMs(long durationMs) {
    long untilMs = monotonicMs() + Math.max(0, durationMs);
    while (runNextDue(untilMs)) {
      continue;
    }
    synchronized (this) {
      nowMs = Math.max(nowMs, untilMs);
      notifyAll();
    }
  }

  private boolean runNextDue(long untilMs) {
    Action next;
    synchronized (this) {
      next =
          actions.stream()
              .filter(action -> action.atMs() <= untilMs)
              .min(Comparator.comparingLong(Action::atMs))
              .orElse(null);
      if (next == null) {
        return false;
      }
      actions.remove(next);
      nowMs = Math.max(nowMs, next.atMs());
    }
    next.body().run();
    return true;
  }
}
