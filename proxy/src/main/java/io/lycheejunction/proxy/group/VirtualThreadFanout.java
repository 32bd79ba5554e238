package io.lycheejunction.proxy.group;

import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.function.BooleanSupplier;

/** Runs each task on its own virtual thread. */
public final class VirtualThreadFanout implements Fanout {

  @Override
  public void run(List<Runnable> tasks, BooleanSupplier isEnough) {
    Semaphore completed = new Semaphore(0);
    for (Runnable task : tasks) {
      Thread.ofVirtual().name("round").start(() -> runAndRelease(task, completed));
    }
    for (int i = 0; i < tasks.size(); i++) {
      try {
        completed.acquire();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      if (isEnough.getAsBoolean()) {
        return;
      }
    }
  }

  private static void runAndRelease(Runnable task, Semaphore completed) {
    try {
      task.run();
    } finally {
      completed.release();
    }
  }

  @Override
  public void start(String name, Runnable task) {
    Thread.ofVirtual().name(name).start(task);
  }
}
