package io.lycheejunction.proxy.group;

import java.util.List;
import java.util.function.BooleanSupplier;

/** Runs tasks one after another on the calling thread. */
final class SequentialFanout implements Fanout {

  @Override
  public void run(List<Runnable> tasks, BooleanSupplier isEnough) {
    for (Runnable task : tasks) {
      task.run();
      if (isEnough.getAsBoolean()) {
        return;
      }
    }
  }

  @Override
  public void start(String name, Runnable task) {
    task.run();
  }
}
