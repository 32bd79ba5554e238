package io.lycheejunction.gateway.target;

/**
 * What a service's targets have shown of its past and present primaries.
 *
 * <p>It outlasts the targets that have shown it. A primary that was replaced may go on to claim its
 * role after its successor has stepped down or is gone, and then only the successor's term tells
 * that it must not be used.
 */
final class LeadershipHistory {
  private long newestTerm;
  private long newestClaimRevision = Long.MIN_VALUE;
  private long newestClaimTerm;

  /** Creates a history without any term. */
  LeadershipHistory() {}

  /**
   * Returns the newest term in which any target has confirmed that it leads, 0 if there is none.
   */
  long newestTerm() {
    return newestTerm;
  }

  /** Records that a target has confirmed that it leads a term. */
  void recordTerm(long term) {
    newestTerm = Math.max(newestTerm, term);
  }

  /**
   * Records that a registration claims the role anew.
   *
   * @param revision the store's revision of the registration
   * @return the lowest term that the claim can stand for: a registration that claims the role is
   *     written after a promotion, so its term is newer than all confirmed before
   */
  long recordClaim(long revision) {
    if (revision > newestClaimRevision) {
      newestClaimRevision = revision;
      newestClaimTerm = newestTerm + 1;
    }
    return newestTerm + 1;
  }

  /**
   * Returns whether the role has been claimed later than by a target, and may be for a newer term.
   *
   * @param claimRevision the revision of the registration with which the target claimed the role
   * @param provenTerm the term that the target has confirmed, or 0 if there is none
   */
  boolean hasNewerClaim(long claimRevision, long provenTerm) {
    boolean disproved = provenTerm > 0 && newestClaimTerm <= provenTerm;
    return newestClaimRevision > claimRevision && !disproved;
  }
}
