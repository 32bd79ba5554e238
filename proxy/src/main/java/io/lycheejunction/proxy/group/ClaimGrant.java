package io.lycheejunction.proxy.group;

/**
 * Keeps which proxy this one has let claim a group; safe for use by several threads.
 *
 * <p>A grant to one proxy refuses all others until it ends. A proxy's grant to itself gives way to
 * a proxy of a lower rank as long as it is not held firmly.
 */
final class ClaimGrant {
  private String holder = "";
  private int rank;
  private boolean firm;
  private long untilMs = Long.MIN_VALUE;

  /**
   * Returns whether another proxy may claim, and if so refuses all others for a while.
   *
   * @param asker the name of the proxy that asks
   * @param askerRank its place among those that may claim, from 0
   * @param nowMs the monotonic time, in milliseconds
   * @param durationMs the duration of the grant, in milliseconds
   * @return true if the claim is granted
   */
  synchronized boolean give(String asker, int askerRank, long nowMs, long durationMs) {
    boolean taken = nowMs < untilMs && !holder.equals(asker);
    if (taken && (firm || askerRank >= rank)) {
      return false;
    }
    set(asker, askerRank, true, nowMs + durationMs);
    return true;
  }

  /**
   * Returns whether this proxy may ask the others for their grants.
   *
   * @param self the name of this proxy
   * @param selfRank its place among those that may claim, from 0
   * @param nowMs the monotonic time, in milliseconds
   * @param durationMs the duration of the grant, in milliseconds
   * @return false while the grant of another proxy lasts
   */
  synchronized boolean reserve(String self, int selfRank, long nowMs, long durationMs) {
    if (nowMs < untilMs && !holder.equals(self)) {
      return false;
    }
    set(self, selfRank, false, nowMs + durationMs);
    return true;
  }

  /**
   * Returns whether this proxy still holds its own grant, and if so gives way to nobody.
   *
   * @param self the name of this proxy
   * @param nowMs the monotonic time, in milliseconds
   * @param durationMs the duration of the grant, in milliseconds
   * @return true if the claim may start
   */
  synchronized boolean hold(String self, long nowMs, long durationMs) {
    if (!holder.equals(self) || nowMs >= untilMs) {
      return false;
    }
    set(self, rank, true, nowMs + durationMs);
    return true;
  }

  /**
   * Ends this proxy's own grant.
   *
   * @param self the name of this proxy
   */
  synchronized void release(String self) {
    if (holder.equals(self)) {
      untilMs = Long.MIN_VALUE;
    }
  }

  private void set(String newHolder, int newRank, boolean newFirm, long newUntilMs) {
    holder = newHolder;
    rank = newRank;
    firm = newFirm;
    untilMs = newUntilMs;
  }
}
