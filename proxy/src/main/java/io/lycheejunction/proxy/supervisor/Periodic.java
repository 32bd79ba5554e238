package io.lycheejunction.proxy.supervisor;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.clock.RuntimeClock;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Runs a step periodically on its own virtual thread.
 *
 * <p>The step itself neither creates a thread nor sleeps, so that tests can call it directly.
 */
public final class Periodic implements Child {
  private static final EventLog LOG = EventLog.of(Periodic.class);

  private final String name;
  private final RuntimeClock clock;
  private final LongSupplier intervalMs;
  private final Runnable step;
  private volatile Thread thread;
  private volatile boolean failed;

  /**
   * Creates a periodic child.
   *
   * @param name its name in logs
   * @param clock the runtime clock
   * @param intervalMs supplies the pause between two steps, in milliseconds
   * @param step the step; an exception makes the child unhealthy
   */
  public Periodic(String name, RuntimeClock clock, LongSupplier intervalMs, Runnable step) {
    this.name = Objects.requireNonNull(name, "name is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.intervalMs = Objects.requireNonNull(intervalMs, "intervalMs is null");
    this.step = Objects.requireNonNull(step, "step is null");
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public synchronized void start() {
    failed = false;
    thread = Thread.ofVirtual().name(name).start(this::loop);
  }

  private void loop() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        step.run();
        clock.sleepMs(intervalMs.getAsLong());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException e) {
      failed = true;
      LOG.warn("child_failed", "child", name, "cause", e);
    }
  }

  @Override
  public synchronized void stop() {
    Thread running = thread;
    if (running == null) {
      return;
    }
    thread = null;
    running.interrupt();
    try {
      running.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public boolean isHealthy() {
    return !failed;
  }
}
