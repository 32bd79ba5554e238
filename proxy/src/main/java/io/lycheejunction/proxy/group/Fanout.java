package io.lycheejunction.proxy.group;

import java.util.List;
import java.util.function.BooleanSupplier;

/** Runs the blocking calls of one round. */
public interface Fanout {

  /**
   * Runs the tasks and returns once enough of them have ended; the others go on.
   *
   * @param tasks the tasks
   * @param isEnough asked after each task that ends
   */
  void run(List<Runnable> tasks, BooleanSupplier isEnough);

  /**
   * Starts a task whose end is not waited for.
   *
   * @param name the name of the task
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
   * Returns a fan-out that runs the tasks in turn on the calling thread and leaves out those that
   * are not needed any more.
   *
   * @return the fan-out
   */
  static Fanout sequential() {
    return new SequentialFanout();
  }
}
