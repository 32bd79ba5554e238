package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.proxy.supervisor.Child;
import java.util.Objects;

/** Refuses new requests of callers and waits for those in flight when the proxy stops. */
public final class CallerDrain implements Child {
  private final InFlight inFlight;
  private final RuntimeClock clock;
  private final long maxWaitMs;

  /**
   * Creates the drain.
   *
   * @param inFlight the requests in flight
   * @param clock the runtime clock
   * @param maxWaitMs the maximum time to wait for them, in milliseconds
   */
  public CallerDrain(InFlight inFlight, RuntimeClock clock, long maxWaitMs) {
    this.inFlight = Objects.requireNonNull(inFlight, "inFlight is null");
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
    inFlight.close();
    try {
      inFlight.awaitIdle(clock, maxWaitMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
