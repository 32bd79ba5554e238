package io.lycheejunction.bench.quota;

import io.lycheejunction.gateway.schedule.Scheduler;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A scheduler on a virtual clock. */
final class VirtualScheduler implements Scheduler {
  private record Task(long dueMs, long number, Runnable action) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::dueMs).thenComparingLong(Task::number));
  private long nowMs;
  private long scheduled;

  @Override
  public long nowMs() {
    return nowMs;
  }

  @Override
  public Timer schedule(long delayMs, Runnable action) {
    Task task = new Task(nowMs + Math.max(0, delayMs), scheduled++, action);
    tasks.add(task);
    return () -> tasks.remove(task);
  }

  /** Runs the tasks that fall due until a time. */
  void advanceTo(long untilMs) {
    while (!tasks.isEmpty() && tasks.peek().dueMs() <= untilMs) {
      Task task = tasks.poll();
      nowMs = Math.max(nowMs, task.dueMs());
      task.action().run();
    }
    nowMs = untilMs;
  }
}
