package io.lycheejunction.proxy;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.proxy.caller.InFlight;
import io.lycheejunction.proxy.holder.HolderWork;
import io.lycheejunction.proxy.holder.PooledHolders;
import io.lycheejunction.proxy.supervisor.Drainable;
import java.util.List;

/** The parts of the proxy that finish their work at shutdown. */
final class DrainOrder {
  private DrainOrder() {}

  /**
   * Returns the parts in the order in which they drain: the balancer's notice, callers' requests,
   * the work on held targets.
   *
   * @param noticeMs the time that the balancer needs to see that the proxy is not ready, in
   *     milliseconds
   * @param inFlight the callers' requests
   * @param holders the held targets
   * @param clock the runtime clock
   * @return the parts
   */
  static List<Drainable> of(
      long noticeMs, InFlight inFlight, PooledHolders holders, RuntimeClock clock) {
    return List.of(
        new Notice(noticeMs, clock), new CallerWork(inFlight, clock), new HolderWork(holders));
  }

  /** The time in which callers still come because the balancer has not noticed yet. */
  private static final class Notice implements Drainable {
    private final long noticeMs;
    private final RuntimeClock clock;
    private volatile long endsMs;

    Notice(long noticeMs, RuntimeClock clock) {
      this.noticeMs = noticeMs;
      this.clock = clock;
    }

    @Override
    public void drain() {
      endsMs = clock.monotonicMs() + noticeMs;
    }

    @Override
    public boolean awaitIdle(long timeoutMs) {
      try {
        clock.sleepMs(Math.min(timeoutMs, Math.max(0, endsMs - clock.monotonicMs())));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return clock.monotonicMs() >= endsMs;
    }

    @Override
    public String waitingFor() {
      return clock.monotonicMs() < endsMs ? "the balancer to notice" : "";
    }
  }

  private record CallerWork(InFlight inFlight, RuntimeClock clock) implements Drainable {
    @Override
    public void drain() {
      inFlight.close();
    }

    @Override
    public boolean awaitIdle(long timeoutMs) {
      try {
        return inFlight.awaitIdle(clock, timeoutMs);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    }

    @Override
    public String waitingFor() {
      int size = inFlight.size();
      return size == 0 ? "" : size + " requests of callers";
    }
  }
}
