package io.lycheejunction.proxy.holder;

import io.lycheejunction.proxy.supervisor.Drainable;
import java.util.Objects;

/**
 * Drains the statements and transactions on held targets before the proxy stops.
 *
 * @param holders the holder to drain
 */
public record HolderWork(PooledHolders holders) implements Drainable {
  /** Rejects null components. */
  public HolderWork {
    Objects.requireNonNull(holders, "holders is null");
  }

  @Override
  public void drain() {
    holders.drain();
  }

  @Override
  public boolean awaitIdle(long timeoutMs) {
    return holders.awaitCompletion(timeoutMs) && holders.awaitCompletionAndClose(0);
  }

  @Override
  public String waitingFor() {
    return holders.isIdle() ? "" : "statements and transactions on held targets";
  }
}
