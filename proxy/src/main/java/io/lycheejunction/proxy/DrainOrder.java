package io.lycheejunction.proxy;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.proxy.caller.InFlightLimiter;
import io.lycheejunction.proxy.holder.HolderDrain;
import io.lycheejunction.proxy.holder.HolderRouter;
import io.lycheejunction.proxy.supervisor.Drainable;
import java.util.List;

/** The order in which the parts of the proxy drain at shutdown. */
final class DrainOrder {
  private DrainOrder() {}

  /**
   * Returns the parts in the order in which they drain: the delay until the load balancer sends no
   * more requests, the callers' requests in flight, the work on the targets that this proxy holds.
   *
   * @param noticeMs the time that the load balancer needs to see that the proxy is not ready, in
   *     milliseconds
   * @param inFlight the callers' requests in flight
   * @param holderRouter the targets that this proxy holds, with their connection pools
   * @param clock the runtime clock
   * @return the parts
   */
  static List<Drainable> of(
      long noticeMs, InFlightLimiter inFlight, HolderRouter holderRouter, RuntimeClock clock) {
    return List.of(
        new BalancerDelay(noticeMs, clock),
        new CallerRequests(inFlight, clock),
        new HolderDrain(holderRouter));
  }

  /** Keeps the proxy serving until the load balancer has seen that it is not ready. */
  private static final class BalancerDelay implements Drainable {
    private final long noticeMs;
    private final RuntimeClock clock;
    private volatile long endsMs;

    BalancerDelay(long noticeMs, RuntimeClock clock) {
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
      return clock.monotonicMs() < endsMs ? "the load balancer to notice the shutdown" : "";
    }
  }

  private record CallerRequests(InFlightLimiter inFlight, RuntimeClock clock) implements Drainable {
    @Override
    public void drain() {
      inFlight.stopAdmission();
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
