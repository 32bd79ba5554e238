package io.lycheejunction.proxy.group;

import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.function.BooleanSupplier;

/** Runs each task on a virtual thread of its own. */
public final class VirtualThreadFanout implements Fanout {

  @Override
  public void run(List<Runnable> tasks, BooleanSupplier isEnough) {
    Semaphore ended = new Semaphore(0);
    for (Runnable task : tasks) {
      Thread.ofVirtual().name("round").start(() -> runAndRelease(task, ended));
    }
    for (int i = 0; i < tasks.size(); i++) {
      try {
        ended.acquire();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      if (isEnough.getAsBoolean()) {
        return;
      }
    }
  }

  private static void runAndRelease(Runnable task, Semaphore ended) {
    try {
      task.run();
    } finally {
      ended.release();
    }
  }

  @Override
  public void start(String name, Runnable task) {
    Thread.ofVirtual().name(name).start(task);
  }
}
