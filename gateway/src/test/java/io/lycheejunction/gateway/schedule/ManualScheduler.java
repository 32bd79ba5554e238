package io.lycheejunction.gateway.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** A scheduler whose time stands still until a test advances it. */
public final class ManualScheduler implements Scheduler {

  private static final class Task {
    private final long atMs;
    private final Runnable body;
    private boolean cancelled;

    private Task(long atMs, Runnable body) {
      this.atMs = atMs;
      this.body = body;
    }
  }

  private final List<Task> tasks = new ArrayList<>();
  private long nowMs = 100_000;

  @Override
  public long nowMs() {
    return nowMs;
  }

  @Override
  public Timer schedule(long delayMs, Runnable body) {
    Task task = new Task(nowMs + Math.max(0, delayMs), body);
    tasks.add(task);
    return () -> task.cancelled = true;
  }

  /** Advances the time and runs what falls due, in order of time. */
  public void advanceMs(long durationMs) {
    long untilMs = nowMs + durationMs;
    while (true) {
      Optional<Task> next =
          tasks.stream()
              .filter(task -> task.atMs <= untilMs)
              .min(Comparator.comparingLong(task -> task.atMs));
      if (next.isEmpty()) {
        nowMs = untilMs;
        return;
      }
      tasks.remove(next.get());
      nowMs = Math.max(nowMs, next.get().atMs);
      if (!next.get().cancelled) {
        next.get().body.run();
      }
    }
  }
}
