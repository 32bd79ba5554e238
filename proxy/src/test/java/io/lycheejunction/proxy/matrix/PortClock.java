package io.lycheejunction.proxy.matrix;

import io.lycheejunction.core.clock.RuntimeClock;

/**
 * The clock of the ports, on which a long sleep of background work takes only 1 ms.
 *
 * <p>In production each periodic task waits for an unresponsive server on its own thread. Here all
 * work shares one thread, so a full wait would block the request that the task has interrupted.
 */
record PortClock(Fleet fleet) implements RuntimeClock {
  private static final long MAX_BACKGROUND_SLEEP_MS = 30;

  @Override
  public long wallMs() {
    return fleet.clock.wallMs();
  }

  @Override
  public long monotonicMs() {
    return fleet.clock.monotonicMs();
  }

  @Override
  public void sleepMs(long durationMs) {
    boolean isShortened = fleet.isBackground() && durationMs > MAX_BACKGROUND_SLEEP_MS;
    fleet.clock.advanceMs(isShortened ? 1 : durationMs);
  }
}
