package io.lycheejunction.common.clock;

import io.lycheejunction.core.clock.RuntimeClock;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A runtime clock that reads the system time and waits in real time. */
public final class SystemRuntimeClock implements RuntimeClock {

  @Override
  public long wallMs() {
    return System.currentTimeMillis();
  }

  @Override
  public long monotonicMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  @Override
  public void sleepMs(long durationMs) throws InterruptedException {
    Thread.sleep(durationMs);
  }

  @Override
  public boolean awaitMs(CountDownLatch latch, long timeoutMs) throws InterruptedException {
    return latch.await(timeoutMs, TimeUnit.MILLISECONDS);
  }
}
