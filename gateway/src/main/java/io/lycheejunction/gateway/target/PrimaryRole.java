package io.lycheejunction.gateway.target;

/**
 * Whether one target is the primary of its service, by its registrations and its own answers, and
 * in which term.
 */
final class PrimaryRole {
  /** Lower than each revision of the store. */
  private static final long NEVER = Long.MIN_VALUE;

  private final LeadershipHistory leadership;
  private boolean claimed;
  private long revision = NEVER;
  private long claimedAtRevision = NEVER;
  private long claimedTerm;
  private long notPrimaryUntilRevision = NEVER;
  private long provenTerm;

  /**
   * Creates the role of a target from its first registration.
   *
   * @param registration the registration
   * @param leadership the terms of the target's service, also those of other targets
   */
  PrimaryRole(Target registration, LeadershipHistory leadership) {
    this.leadership = leadership;
    register(registration);
  }

  /** Records a registration of the target, which is newer than those before. */
  void register(Target registration) {
    if (registration.claimsPrimary() && !claimed) {
      claimedAtRevision = registration.revision();
      claimedTerm = leadership.recordClaim(registration.revision());
    }
    if (!registration.claimsPrimary() && claimed) {
      provenTerm = 0;
    }
    claimed = registration.claimsPrimary();
    revision = registration.revision();
  }

  /**
   * Records that the target has confirmed that it leads a term; a lower one than before is late.
   */
  void confirm(long term) {
    provenTerm = Math.max(provenTerm, term);
    leadership.recordTerm(term);
  }

  /** Records that the target is not the primary, until it registers or confirms the role anew. */
  void end() {
    notPrimaryUntilRevision = revision;
    provenTerm = 0;
  }

  /** Returns whether the target counts as primary; several of a service may for a while. */
  boolean isPrimary() {
    return provenTerm > 0 || claimed && revision > notPrimaryUntilRevision;
  }

  /** Returns the term that the target has confirmed and not since lost, or 0 if there is none. */
  long provenTerm() {
    return provenTerm;
  }

  /**
   * Returns the term in which the target leads by the latest evidence: the one that it has
   * confirmed, or else the lowest one that its registration can stand for.
   */
  long presumedTerm() {
    return provenTerm > 0 ? provenTerm : claimedTerm;
  }

  /**
   * Returns the store's revision of the first registration that claims the role, of those that
   * follow each other without one that does not; lower than any other one if there is none.
   */
  long claimedAtRevision() {
    return claimedAtRevision;
  }
}
