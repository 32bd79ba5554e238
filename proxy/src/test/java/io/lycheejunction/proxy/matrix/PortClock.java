package io.lycheejunction.proxy.matrix;

import io.lycheejunction.core.clock.RuntimeClock;

/**
 * The clock of the ports, on which periodic work does not hold others up.
 *
 * <p>In production each periodic step waits for a silent server on a thread of its own. With one
 * thread, such a wait would stop the request below it, so it ends at once.
 */
record PortClock(Fleet fleet) implements RuntimeClock {
  private static final long LONGEST_BACKGROUND_MS = 30;

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
    boolean isWait = fleet.isBackground() && durationMs > LONGEST_BACKGROUND_MS;
    fleet.clock.advanceMs(isWait ? 1 : durationMs);
  }
}
