package io.lycheejunction.proxy.operator;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.proxy.caller.Readiness;
import io.lycheejunction.proxy.supervisor.Drainable;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

/**
 * The graceful shutdown of the proxy, which a signal, an operator, the platform's list of VMs or a
 * spent restart budget begins.
 */
public final class GracefulShutdown implements Readiness {
  private static final EventLog LOG = EventLog.of(GracefulShutdown.class);

  /** The longest wait for accepted work to finish, in milliseconds. */
  public static final long MAX_WAIT_MS = 60_000;

  private static final long WAIT_STEP_MS = 500;

  private final RuntimeClock clock;
  private final Runnable announceLeaving;
  private final List<Drainable> parts;
  private final CountDownLatch drained = new CountDownLatch(1);
  private volatile boolean begun;

  /**
   * Creates a shutdown that has not begun.
   *
   * @param clock the runtime clock
   * @param announceLeaving tells the other proxies that this one is leaving
   * @param parts the parts to drain, in this order
   */
  public GracefulShutdown(RuntimeClock clock, Runnable announceLeaving, List<Drainable> parts) {
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.announceLeaving = Objects.requireNonNull(announceLeaving, "announceLeaving is null");
    this.parts = List.copyOf(parts);
  }

  @Override
  public Optional<String> reasonNotReady() {
    return begun ? Optional.of("shutting down") : Optional.empty();
  }

  /**
   * Begins the shutdown on its own thread; if it has begun already, logs what it is waiting for.
   *
   * @param cause what requested the shutdown, for the log
   * @return true if this call began the shutdown
   */
  public boolean begin(String cause) {
    synchronized (this) {
      if (begun) {
        LOG.info("shutdown_waiting", "cause", cause, "for", waitingFor());
        return false;
      }
      begun = true;
    }
    LOG.info("shutdown_begun", "cause", cause);
    Thread.ofVirtual().name("shutdown").start(this::run);
    return true;
  }

  /**
   * Announces that this proxy is leaving, then drains the parts in order and waits for each until
   * its work is finished or {@link #MAX_WAIT_MS} is over.
   */
  void run() {
    begun = true;
    long untilMs = clock.monotonicMs() + MAX_WAIT_MS;
    try {
      announceLeaving.run();
      for (Drainable part : parts) {
        part.drain();
        await(part, untilMs);
      }
    } finally {
      LOG.info("shutdown_drained", "unfinished", waitingFor());
      drained.countDown();
    }
  }

  private void await(Drainable part, long untilMs) {
    while (!part.awaitIdle(Math.min(WAIT_STEP_MS, Math.max(1, untilMs - clock.monotonicMs())))) {
      if (clock.monotonicMs() >= untilMs) {
        return;
      }
    }
  }

  /**
   * Returns what the shutdown is waiting for.
   *
   * @return one readable line, empty if no work remains
   */
  public String waitingFor() {
    StringBuilder remaining = new StringBuilder();
    for (Drainable part : parts) {
      String line = part.waitingFor();
      if (!line.isEmpty()) {
        remaining.append(remaining.isEmpty() ? "" : "; ").append(line);
      }
    }
    return remaining.toString();
  }

  /**
   * Returns once the parts have drained or the longest wait is over, so that the caller can stop
   * the supervisor tree and exit.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void awaitDrained() throws InterruptedException {
    drained.await();
  }
}
