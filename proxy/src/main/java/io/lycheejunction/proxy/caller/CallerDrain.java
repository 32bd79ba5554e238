package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.proxy.supervisor.Child;
import java.util.Objects;

/** Refuses new requests of callers and waits for those in flight when the proxy stops. */
public final class CallerDrain implements Child {
  private final InFlightLimiter limiter;
  private final RuntimeClock clock;
  private final long maxWaitMs;

  /**
   * Creates the drain.
   *
   * @param limiter counts the requests in flight
   * @param clock the runtime clock
   * @param maxWaitMs the maximum time to wait for them, in milliseconds
   */
  public CallerDrain(InFlightLimiter limiter, RuntimeClock clock, long maxWaitMs) {
    this.limiter = Objects.requireNonNull(limiter, "limiter is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.maxWaitMs = maxWaitMs;
  }

  @Override
  public String name() {
    return "caller";
  }

  @Override
  public void start() {
    // Nothing to start: requests are admitted from the creation of inFlight on.
  }

  @Override
  public void stop() {
    limiter.stopAdmission();
    try {
      limiter.awaitIdle(clock, maxWaitMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
