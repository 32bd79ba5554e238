package io.lycheejunction.proxy.supervisor;

import java.util.ArrayDeque;
import java.util.Deque;

/** Limits the restarts within a sliding window; not safe for use by several threads. */
final class RestartBudget {
  private final int maxRestarts;
  private final long windowMs;
  private final Deque<Long> restartsMs = new ArrayDeque<>();

  RestartBudget(int maxRestarts, long windowMs) {
    this.maxRestarts = maxRestarts;
    this.windowMs = windowMs;
  }

  /**
   * Returns whether one more restart is allowed now, and counts it if so.
   *
   * @param nowMs the monotonic time in milliseconds
   * @return false if the window already holds the allowed number
   */
  boolean tryRestart(long nowMs) {
    while (!restartsMs.isEmpty() && nowMs - restartsMs.peekFirst() >= windowMs) {
      restartsMs.removeFirst();
    }
    if (restartsMs.size() >= maxRestarts) {
      return false;
    }
    restartsMs.addLast(nowMs);
    return true;
  }
}
