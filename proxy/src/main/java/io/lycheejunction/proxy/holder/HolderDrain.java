package io.lycheejunction.proxy.holder;

import io.lycheejunction.proxy.supervisor.Drainable;
import java.util.Objects;

/**
 * Drains the statements and transactions on held targets before the proxy stops.
 *
 * @param holderRouter drains the held targets
 */
public record HolderDrain(HolderRouter holderRouter) implements Drainable {
  /** Rejects null components. */
  public HolderDrain {
    Objects.requireNonNull(holderRouter, "holderRouter is null");
  }

  @Override
  public void drain() {
    holderRouter.drain();
  }

  @Override
  public boolean awaitIdle(long timeoutMs) {
    return holderRouter.awaitCompletion(timeoutMs) && holderRouter.awaitCompletionAndClose(0);
  }

  @Override
  public String waitingFor() {
    return holderRouter.isIdle() ? "" : "statements and transactions on held targets";
  }
}
