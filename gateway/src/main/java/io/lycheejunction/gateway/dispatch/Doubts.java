package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.gateway.target.TargetHandle;

/** Tells the watch of primaries at once when a target's answer to a statement is overdue. */
public final class Doubts {
  private Runnable watch = () -> {};

  /** Creates doubts that nobody is told of yet. */
  public Doubts() {}

  /**
   * Sets who is told.
   *
   * @param changed is run after each doubt
   */
  public void tell(Runnable changed) {
    watch = changed;
  }

  /**
   * Notes that an answer of a target is overdue.
   *
   * @param target the target
   * @param nowMs the present time, in milliseconds
   */
  void raise(TargetHandle target, long nowMs) {
    target.overdue(nowMs);
    watch.run();
  }
}
