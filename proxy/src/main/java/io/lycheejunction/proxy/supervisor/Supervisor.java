package io.lycheejunction.proxy.supervisor;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.clock.RuntimeClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Starts its children in order, restarts a failed child together with the children after it, and
 * stops them all in reverse order.
 */
public final class Supervisor implements Child {
  private static final EventLog LOG = EventLog.of(Supervisor.class);
  private static final int MAX_RESTARTS = 5;
  private static final long RESTART_WINDOW_MS = 60_000;
  private static final long CHECK_INTERVAL_MS = 500;

  private final String name;
  private final List<Child> children;
  private final RuntimeClock clock;
  private final RestartBudget budget = new RestartBudget(MAX_RESTARTS, RESTART_WINDOW_MS);
  private int started;
  private volatile boolean failed;

  /**
   * Creates a supervisor.
   *
   * @param name its name in logs
   * @param children the children, in the order in which they start
   * @param clock the runtime clock
   */
  public Supervisor(String name, List<Child> children, RuntimeClock clock) {
    this.name = Objects.requireNonNull(name, "name is null");
    this.children = List.copyOf(children);
    this.clock = Objects.requireNonNull(clock, "clock is null");
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public synchronized void start() throws InterruptedException {
    startFrom(0);
  }

  private void startFrom(int first) throws InterruptedException {
    for (int i = first; i < children.size(); i++) {
      children.get(i).start();
      started = i + 1;
      LOG.debug("child_started", "supervisor", name, "child", children.get(i).name());
    }
  }

  @Override
  public synchronized void stop() {
    stopDownTo(0);
  }

  private void stopDownTo(int first) {
    while (started > first) {
      started--;
      Child child = children.get(started);
      child.stop();
      LOG.debug("child_stopped", "supervisor", name, "child", child.name());
    }
  }

  @Override
  public boolean isHealthy() {
    return !failed;
  }

  /**
   * Checks the children until the thread is interrupted or the restart budget is spent.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void watch() throws InterruptedException {
    while (!failed) {
      clock.sleepMs(CHECK_INTERVAL_MS);
      check();
    }
  }

  /**
   * Restarts the first failed child and the children after it if the budget allows; otherwise marks
   * the supervisor as failed.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  synchronized void check() throws InterruptedException {
    for (int i = 0; i < started; i++) {
      if (children.get(i).isHealthy()) {
        continue;
      }
      if (!budget.tryRestart(clock.monotonicMs())) {
        LOG.warn("restart_budget_spent", "supervisor", name, "child", children.get(i).name());
        failed = true;
        return;
      }
      LOG.warn("child_restarted", "supervisor", name, "child", children.get(i).name());
      stopDownTo(i);
      startFrom(i);
      return;
    }
  }

  /**
   * Returns the names of the children that are not healthy.
   *
   * @return the names, in the order of start
   */
  public List<String> unhealthy() {
    List<String> names = new ArrayList<>();
    for (Child child : children) {
      if (!child.isHealthy()) {
        names.add(child.name());
      }
    }
    return names;
  }
}
