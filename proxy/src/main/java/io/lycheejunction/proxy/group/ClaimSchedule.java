package io.lycheejunction.proxy.group;

import io.lycheejunction.core.failover.FlapDamping;
import io.lycheejunction.core.failover.PrimaryLoss;
import io.lycheejunction.core.group.GroupReport;
import java.util.Optional;

/** Decides when this proxy may claim a group; thread-safe. */
final class ClaimSchedule {
  private static final long RANK_STAGGER_MS = 150;
  private static final int MAX_BACKOFF_DOUBLINGS = 5;
  private static final long RETRY_DELAY_MS = 50;

  private final long maxClaimMs;
  private boolean inProgress;
  private PrimaryLoss.PrimaryState lastState = PrimaryLoss.PrimaryState.PRESENT;
  private long unchangedSinceMs;
  private long highestTerm;
  private long notBeforeMs = Long.MIN_VALUE;
  private int consecutiveLosses;
  private FlapDamping damping = FlapDamping.empty();
  private Optional<GroupReport.Promotion> lastPromotion = Optional.empty();

  /**
   * Creates the schedule of a group.
   *
   * @param maxClaimMs the time to wait for another proxy's claim to complete, in milliseconds
   */
  ClaimSchedule(long maxClaimMs) {
    this.maxClaimMs = maxClaimMs;
  }

  /**
   * Returns whether a claim is due, and if so marks it as in progress until {@link #recordDenied},
   * {@link #recordLost} or {@link #recordWon}.
   *
   * <p>A higher term than before means that another proxy has started a claim, so the waiting time
   * starts again.
   *
   * @param primaryState the state of the primary as seen by this proxy
   * @param term the highest term that this proxy knows of
   * @param rank the rank of this proxy among the candidates for the claim, from 0
   * @param nowMs the monotonic time, in milliseconds
   * @return true if the caller must start a claim
   */
  synchronized boolean tryStartIfDue(
      PrimaryLoss.PrimaryState primaryState, long term, int rank, long nowMs) {
    if (primaryState != lastState || term > highestTerm) {
      lastState = primaryState;
      highestTerm = Math.max(highestTerm, term);
      unchangedSinceMs = nowMs;
    }
    if (primaryState == PrimaryLoss.PrimaryState.PRESENT) {
      return false;
    }
    long waitMs =
        rank * RANK_STAGGER_MS + (primaryState == PrimaryLoss.PrimaryState.VACANT ? maxClaimMs : 0);
    boolean due =
        nowMs - unchangedSinceMs >= waitMs && nowMs >= notBeforeMs && damping.allowsClaim(nowMs);
    return due && tryStart(nowMs);
  }

  /**
   * Returns whether a planned promotion may start now, and if so marks it as in progress.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @return true if the caller must start it
   */
  synchronized boolean tryStart(long nowMs) {
    if (inProgress || nowMs < notBeforeMs) {
      return false;
    }
    inProgress = true;
    return true;
  }

  /**
   * Records that no claim was made because the pre-vote was denied.
   *
   * @param nowMs the monotonic time, in milliseconds
   */
  synchronized void recordDenied(long nowMs) {
    inProgress = false;
    notBeforeMs = nowMs + 1;
  }

  /**
   * Records that a claim was lost, and delays the next one by an exponential backoff with jitter.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @param jitter a random number from 0 to 1, which scales the backoff
   */
  synchronized void recordLost(long nowMs, double jitter) {
    inProgress = false;
    long jitterRangeMs = RETRY_DELAY_MS << Math.min(consecutiveLosses, MAX_BACKOFF_DOUBLINGS);
    notBeforeMs = nowMs + RETRY_DELAY_MS + (long) (jitter * jitterRangeMs);
    consecutiveLosses++;
  }

  /**
   * Records that a claim was won.
   *
   * @param promotion the promotion
   * @param nowMs the monotonic time, in milliseconds
   */
  synchronized void recordWon(GroupReport.Promotion promotion, long nowMs) {
    inProgress = false;
    consecutiveLosses = 0;
    damping = damping.afterPromotion(nowMs);
    lastPromotion = Optional.of(promotion);
  }

  synchronized Optional<GroupReport.Promotion> lastPromotion() {
    return lastPromotion;
  }
}
