package io.lycheejunction.gateway.quota;

import java.util.Objects;

/** The tokens of one operation. */
public final class QuotaPermit {
  private static final QuotaPermit NONE = new QuotaPermit(() -> {});

  private Runnable giveBack;

  QuotaPermit(Runnable giveBack) {
    this.giveBack = Objects.requireNonNull(giveBack, "giveBack is null");
  }

  /**
   * Returns the permit of an operation that is not limited.
   *
   * @return the permit
   */
  public static QuotaPermit none() {
    return NONE;
  }

  /**
   * Gives the tokens back, since the operation was not sent to any target; the first call counts.
   */
  public void refund() {
    Runnable once = giveBack;
    giveBack = () -> {};
    once.run();
  }
}
