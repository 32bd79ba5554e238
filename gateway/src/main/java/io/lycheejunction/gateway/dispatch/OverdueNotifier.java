package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.gateway.target.TargetHandle;

/** Notifies the monitor of primaries as soon as a target's answer to a statement is overdue. */
public final class OverdueNotifier {
  private Runnable onOverdue = () -> {};

  /** Creates a notifier without a callback. */
  public OverdueNotifier() {}

  /**
   * Sets the callback.
   *
   * @param callback runs after each overdue answer has been recorded
   */
  public void setListener(Runnable callback) {
    onOverdue = callback;
  }

  /**
   * Records that an answer of a target is overdue and runs the callback.
   *
   * @param target the target
   * @param nowMs the present time, in milliseconds
   */
  void reportOverdue(TargetHandle target, long nowMs) {
    target.recordOverdue(nowMs);
    onOverdue.run();
  }
}
