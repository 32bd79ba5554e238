package io.lycheejunction.proxy.group;

/**
 * Records which proxy may currently claim a group; thread-safe.
 *
 * <p>Until a grant expires or is released, all other proxies are refused. A proxy's reservation for
 * itself yields to a proxy with a lower rank until the reservation is confirmed.
 */
final class ClaimGrant {
  private String grantee = "";
  private int rank;
  private boolean confirmed;
  private long expiresMs = Long.MIN_VALUE;

  /**
   * Returns whether another proxy may claim, and if so refuses all others for the duration.
   *
   * @param requester the name of the requesting proxy
   * @param requesterRank its rank among the candidates for the claim, from 0
   * @param nowMs the monotonic time, in milliseconds
   * @param durationMs the duration of the grant, in milliseconds
   * @return true if the claim is granted
   */
  synchronized boolean tryGrant(String requester, int requesterRank, long nowMs, long durationMs) {
    boolean grantedToOther = nowMs < expiresMs && !grantee.equals(requester);
    if (grantedToOther && (confirmed || requesterRank >= rank)) {
      return false;
    }
    replaceGrant(requester, requesterRank, true, nowMs + durationMs);
    return true;
  }

  /**
   * Returns whether this proxy may ask the others for their grants, and if so reserves its own.
   *
   * @param self the name of this proxy
   * @param selfRank its rank among the candidates for the claim, from 0
   * @param nowMs the monotonic time, in milliseconds
   * @param durationMs the duration of the grant, in milliseconds
   * @return false while a grant to another proxy is in force
   */
  synchronized boolean tryReserve(String self, int selfRank, long nowMs, long durationMs) {
    if (nowMs < expiresMs && !grantee.equals(self)) {
      return false;
    }
    replaceGrant(self, selfRank, false, nowMs + durationMs);
    return true;
  }

  /**
   * Returns whether this proxy's reservation is still in force, and if so confirms it, so that it
   * no longer yields to a lower rank.
   *
   * @param self the name of this proxy
   * @param nowMs the monotonic time, in milliseconds
   * @param durationMs the duration of the grant, in milliseconds
   * @return true if the claim may start
   */
  synchronized boolean tryConfirm(String self, long nowMs, long durationMs) {
    if (!grantee.equals(self) || nowMs >= expiresMs) {
      return false;
    }
    replaceGrant(self, rank, true, nowMs + durationMs);
    return true;
  }

  /**
   * Ends this proxy's own grant; does nothing if another proxy has the grant.
   *
   * @param self the name of this proxy
   */
  synchronized void release(String self) {
    if (grantee.equals(self)) {
      expiresMs = Long.MIN_VALUE;
    }
  }

  private void replaceGrant(
      String newGrantee, int newRank, boolean newConfirmed, long newExpiresMs) {
    grantee = newGrantee;
    rank = newRank;
    confirmed = newConfirmed;
    expiresMs = newExpiresMs;
  }
}
