package io.lycheejunction.gateway.quota;

import io.lycheejunction.gateway.organisation.Quota;

/**
 * How far all VMs together may exceed a quota, and the part of it that each holder slot stands for.
 *
 * <p>In any window of length w, the operations of an organisation that start on all VMs are at most
 * {@code (rate * w + burst) * (1 + overage) + slack}. With n slots they are the sum of:
 *
 * <ul>
 *   <li>the tokens in all buckets when the window begins, at most {@code burst + 0.35 * slack}:
 *       tokens that are moved between buckets never raise a bucket above its capacity;
 *   <li>the tokens that the buckets gain in the window, {@code rate * w};
 *   <li>the first tokens of VMs that take a slot in the window, {@code 0.35 * slack} if each slot
 *       is taken once;
 *   <li>the tokens that are on their way between VMs when the window begins, or above the capacity
 *       of the receiver. They were given less than 500 ms before, so that they are at most n times
 *       the limit on gifts: {@code overage * (rate * w + burst) + 0.3 * slack}.
 * </ul>
 *
 * @param windowMs the length of the window, in milliseconds
 * @param overage the share by which rate and burst may be exceeded
 * @param slack the operations by which they may be exceeded in addition
 */
public record QuotaAllowance(long windowMs, double overage, double slack) {
  private static final double CAPACITY_PART = 0.35;
  private static final double FIRST_TOKENS_PART = 0.35;
  private static final double GIFTS_PART = 0.3;
  private static final double MS_PER_S = 1_000;

  /** Rejects values outside their range; the message names the component, the value and rule. */
  public QuotaAllowance {
    if (windowMs < 1) {
      throw new IllegalArgumentException("windowMs must be at least 1 but is " + windowMs);
    }
    if (!(overage >= 0 && overage <= 1)) {
      throw new IllegalArgumentException("overage must be from 0 to 1 but is " + overage);
    }
    if (!(slack >= 0 && slack <= Quota.MAX)) {
      throw new IllegalArgumentException(
          "slack must be from 0 to " + Quota.MAX + " but is " + slack);
    }
  }

  /**
   * Returns the most operations that may start in one window.
   *
   * @param quota the quota
   * @return the number of operations
   */
  public double maxInWindow(Quota quota) {
    return nominal(quota) * (1 + overage) + slack;
  }

  /** Returns the tokens of a VM that has just taken one of {@code slots} slots. */
  double firstTokens(int slots) {
    return slack * FIRST_TOKENS_PART / slots;
  }

  /** Returns the capacity of the bucket of one of {@code slots} slots. */
  double capacity(Quota quota, int slots) {
    return (quota.burst() + slack * CAPACITY_PART) / slots;
  }

  /** Returns the most tokens that one of {@code slots} slots may give away in 500 ms. */
  double giftLimit(Quota quota, int slots) {
    return (overage * nominal(quota) + slack * GIFTS_PART) / slots;
  }

  private double nominal(Quota quota) {
    return quota.ratePerS() * windowMs / MS_PER_S + quota.burst();
  }
}
