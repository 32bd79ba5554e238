package io.lycheejunction.proxy.operator;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.proxy.caller.Readiness;
import io.lycheejunction.proxy.supervisor.Drainable;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

/** The one path by which the proxy stops, whether a signal or an operator asks for it. */
public final class Shutdown implements Readiness {
  private static final EventLog LOG = EventLog.of(Shutdown.class);

  /** The longest time for which accepted work is awaited, in milliseconds. */
  public static final long MAX_WAIT_MS = 60_000;

  private static final long STEP_MS = 500;

  private final RuntimeClock clock;
  private final Runnable announce;
  private final List<Drainable> parts;
  private final CountDownLatch drained = new CountDownLatch(1);
  private volatile boolean begun;

  /**
   * Creates the path.
   *
   * @param clock the runtime clock
   * @param announce tells the other proxies that this one is leaving
   * @param parts the parts that finish their work, in the order in which they drain
   */
  public Shutdown(RuntimeClock clock, Runnable announce, List<Drainable> parts) {
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.announce = Objects.requireNonNull(announce, "announce is null");
    this.parts = List.copyOf(parts);
  }

  @Override
  public Optional<String> reasonNotReady() {
    return begun ? Optional.of("shutting down") : Optional.empty();
  }

  /**
   * Begins the shutdown on a thread of its own; when it has begun already, logs what it waits for.
   *
   * @param cause what asks for it
   * @return true if this call began it
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
   * Announces, drains every part and waits until their work is finished or the bound is reached.
   */
  void run() {
    begun = true;
    long untilMs = clock.monotonicMs() + MAX_WAIT_MS;
    try {
      announce.run();
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
    while (!part.awaitIdle(Math.min(STEP_MS, Math.max(1, untilMs - clock.monotonicMs())))) {
      if (clock.monotonicMs() >= untilMs) {
        return;
      }
    }
  }

  /**
   * Returns what the shutdown is waiting for.
   *
   * @return one line for a person, empty if nothing remains
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
   * Returns once the work is finished, so that the caller can stop the tree and exit.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void awaitDrained() throws InterruptedException {
    drained.await();
  }
}
