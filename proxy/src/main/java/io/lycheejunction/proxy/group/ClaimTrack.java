package io.lycheejunction.proxy.group;

import io.lycheejunction.core.failover.FlapDamping;
import io.lycheejunction.core.failover.PrimaryLoss;
import io.lycheejunction.core.group.GroupReport;
import java.util.Optional;

/** Keeps when this proxy may claim a group; safe for use by several threads. */
final class ClaimTrack {
  private static final long STAGGER_MS = 150;
  private static final int MAX_DOUBLINGS = 5;
  private static final long RETRY_MS = 50;

  private final long holdMs;
  private boolean busy;
  private PrimaryLoss.Sight sight = PrimaryLoss.Sight.PRESENT;
  private long sinceMs;
  private long highestTerm;
  private long notBeforeMs = Long.MIN_VALUE;
  private int failures;
  private FlapDamping damping = FlapDamping.empty();
  private Optional<GroupReport.Promotion> last = Optional.empty();

  /**
   * Creates the track of a group.
   *
   * @param holdMs the time that another proxy's claim is given, in milliseconds
   */
  ClaimTrack(long holdMs) {
    this.holdMs = holdMs;
  }

  /**
   * Returns whether to claim now, and if so keeps others from it until {@link #lost} or {@link
   * #won}.
   *
   * <p>A rise of the highest term is the claim of another proxy and starts the wait anew.
   *
   * @param seen what this proxy sees of the primary
   * @param term the highest term that this proxy knows of
   * @param rank the place of this proxy among those that may claim, from 0
   * @param nowMs the monotonic time, in milliseconds
   * @return true if the caller must start a claim
   */
  synchronized boolean tryStart(PrimaryLoss.Sight seen, long term, int rank, long nowMs) {
    if (seen != sight || term > highestTerm) {
      sight = seen;
      highestTerm = Math.max(highestTerm, term);
      sinceMs = nowMs;
    }
    if (seen == PrimaryLoss.Sight.PRESENT) {
      return false;
    }
    long waitMs = rank * STAGGER_MS + (seen == PrimaryLoss.Sight.VACANT ? holdMs : 0);
    boolean due = nowMs - sinceMs >= waitMs && nowMs >= notBeforeMs && damping.allows(nowMs);
    return due && tryStart(nowMs);
  }

  /**
   * Returns whether an ordered promotion may start now, and if so keeps others from it.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @return true if the caller must start it
   */
  synchronized boolean tryStart(long nowMs) {
    if (busy || nowMs < notBeforeMs) {
      return false;
    }
    busy = true;
    return true;
  }

  /**
   * Records that no claim was made, since the pre-vote was denied.
   *
   * @param nowMs the monotonic time, in milliseconds
   */
  synchronized void denied(long nowMs) {
    busy = false;
    notBeforeMs = nowMs + 1;
  }

  /**
   * Records that a claim was lost.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @param jitter a random number from 0 to 1
   */
  synchronized void lost(long nowMs, double jitter) {
    busy = false;
    long spanMs = RETRY_MS << Math.min(failures, MAX_DOUBLINGS);
    notBeforeMs = nowMs + RETRY_MS + (long) (jitter * spanMs);
    failures++;
  }

  /**
   * Records that a claim was won.
   *
   * @param promotion the promotion
   * @param nowMs the monotonic time, in milliseconds
   */
  synchronized void won(GroupReport.Promotion promotion, long nowMs) {
    busy = false;
    failures = 0;
    damping = damping.promoted(nowMs);
    last = Optional.of(promotion);
  }

  synchronized Optional<GroupReport.Promotion> last() {
    return last;
  }
}
