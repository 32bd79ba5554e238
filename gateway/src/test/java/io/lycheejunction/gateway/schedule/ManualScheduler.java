package io.lycheejunction.gateway.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** A scheduler whose clock advances only when a test calls {@link #advanceMs}. */
public final class ManualScheduler implements Scheduler {

  private static final class Task {
    private final long dueMs;
    private final Runnable action;
    private boolean cancelled;

    private Task(long dueMs, Runnable action) {
      this.dueMs = dueMs;
      this.action = action;
    }
  }

  private final List<Task> tasks = new ArrayList<>();
  private long nowMs = 100_000;

  @Override
  public long nowMs() {
    return nowMs;
  }

  @Override
  public Timer schedule(long delayMs, Runnable action) {
    Task task = new Task(Math.addExact(nowMs, Math.max(0, delayMs)), action);
    tasks.add(task);
    return () -> task.cancelled = true;
  }

  /** Advances the clock without running tasks, as while the event loop is busy. */
  public void stallMs(long durationMs) {
    nowMs += durationMs;
  }

  /** Advances the clock and runs the tasks that fall due, in order of their time. */
  public void advanceMs(long durationMs) {
    long untilMs = nowMs + durationMs;
    while (true) {
      Optional<Task> next =
          tasks.stream()
              .filter(task -> task.dueMs <= untilMs)
              .min(Comparator.comparingLong(task -> task.dueMs));
      if (next.isEmpty()) {
        nowMs = Math.max(nowMs, untilMs);
        return;
      }
      tasks.remove(next.get());
      nowMs = Math.max(nowMs, next.get().dueMs);
      if (!next.get().cancelled) {
        next.get().action.run();
      }
    }
  }
}
