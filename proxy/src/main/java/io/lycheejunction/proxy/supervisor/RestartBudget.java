package io.lycheejunction.proxy.supervisor;

import java.util.ArrayDeque;
import java.util.Deque;

/** Limits the number of restarts within a sliding window; not thread-safe. */
final class RestartBudget {
  private final int maxRestarts;
  private final long windowMs;
  private final Deque<Long> restartsMs = new ArrayDeque<>();

  RestartBudget(int maxRestarts, long windowMs) {
    this.maxRestarts = maxRestarts;
    this.windowMs = windowMs;
  }

  /**
   * Returns whether one more restart is allowed now; counts the restart if it is.
   *
   * @param nowMs the monotonic time in milliseconds
   * @return false if the window already contains the maximum number of restarts
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
