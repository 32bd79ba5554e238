package io.lycheejunction.proxy.group;

import java.util.List;
import java.util.function.BooleanSupplier;

/** Runs the blocking calls of one round, and background tasks. */
public interface Fanout {

  /**
   * Runs the tasks and returns once enough of them have completed. Tasks that are already running
   * continue in the background.
   *
   * @param tasks the tasks
   * @param isEnough evaluated after each completed task; true if the call may return
   */
  void run(List<Runnable> tasks, BooleanSupplier isEnough);

  /**
   * Starts a task without waiting for its completion.
   *
   * @param name the name of the task, which names its thread if it gets one
   * @param task the task
   */
  void start(String name, Runnable task);

  /**
   * Returns a fan-out that runs each task on a virtual thread of its own.
   *
   * @return the fan-out
   */
  static Fanout virtualThreads() {
    return new VirtualThreadFanout();
  }

  /**
   * Returns a fan-out that runs the tasks one after another on the calling thread and skips the
   * remaining ones once enough have completed.
   *
   * @return the fan-out
   */
  static Fanout sequential() {
    return new SequentialFanout();
  }
}
