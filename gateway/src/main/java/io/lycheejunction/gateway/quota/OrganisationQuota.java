package io.lycheejunction.gateway.quota;

import io.lycheejunction.gateway.organisation.Quota;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The tokens of one organisation on this VM: the bucket of the VM's slot, and received tokens.
 *
 * <p>While no slot is held for certain the bucket is not used, since another VM may have taken the
 * slot; received tokens may be used all the same.
 */
final class OrganisationQuota {
  /** Operations that may wait at the same time for tokens of other VMs. */
  static final int MAX_WAITING = 64;

  /** The longest time until there is room that is stated in a refusal, in milliseconds. */
  static final long MAX_RETRY_MS = 1_000;

  /** The shortest one, which is longer than a request for tokens takes. */
  static final long MIN_RETRY_MS = 20;

  /** The time for which a VM asks for tokens ahead, and keeps its own, in milliseconds. */
  private static final long AHEAD_MS = 200;

  private static final double MS_PER_S = 1_000;
  private static final double OPERATION = 1;

  /** Differences below this are rounding errors. */
  static final double EPSILON = 1e-6;

  /** An operation that waits for tokens. */
  static final class Waiter {
    final Consumer<QuotaDecision> done;
    boolean ended;

    Waiter(Consumer<QuotaDecision> done) {
      this.done = done;
    }
  }

  private final String name;
  private final QuotaAllowance allowance;
  private final QuotaCounts counts;
  private final TokenBucket bucket;
  private final ReceivedTokens received = new ReceivedTokens();
  private final TokenLender lender = new TokenLender();
  private final DemandMeter demand;
  private final DemandMeter allowed;
  private final Deque<Waiter> waiting = new ArrayDeque<>();
  private Quota quota;
  private int slots;
  private long promisedMs;

  /** Changes whenever the bucket is reset, so that tokens taken before are not put back into it. */
  private long resets;

  /** The tokens that other VMs were asked for and that have not been answered. */
  private double asked;

  OrganisationQuota(
      String name,
      Quota quota,
      int slots,
      QuotaAllowance allowance,
      QuotaCounts counts,
      long nowMs) {
    this.name = name;
    this.quota = quota;
    this.slots = slots;
    this.allowance = allowance;
    this.counts = counts;
    this.demand = new DemandMeter(nowMs);
    this.allowed = new DemandMeter(nowMs);
    this.promisedMs = nowMs;
    lender.block(nowMs);
    this.bucket =
        new TokenBucket(
            quota.ratePerS() / slots,
            allowance.capacity(quota, slots),
            allowance.firstTokens(slots),
            nowMs);
  }

  String name() {
    return name;
  }

  Deque<Waiter> waiting() {
    return waiting;
  }

  /** Applies another limit or number of slots; tokens above the new capacity are dropped. */
  void change(Quota newQuota, int newSlots, long nowMs) {
    quota = newQuota;
    slots = newSlots;
    bucket.change(quota.ratePerS() / slots, allowance.capacity(quota, slots), nowMs);
  }

  /** Starts again with the tokens of a VM that has just taken its slot. */
  void reset(long nowMs) {
    resets++;
    bucket.reset(allowance.firstTokens(slots), nowMs);
    lender.block(nowMs);
  }

  /** Drops all tokens, since the clock may have missed time. */
  void clear(long nowMs) {
    resets++;
    bucket.reset(0, nowMs);
    received.clear();
    lender.block(nowMs);
  }

  void recordDemand(long nowMs) {
    demand.record(nowMs);
  }

  double available(boolean holdsSlot, long nowMs) {
    counts.tokensExpired += received.removeExpired(nowMs);
    return received.total() + (holdsSlot ? bucket.level(nowMs) : 0);
  }

  /** Takes the token of one operation; received tokens are used first, as they expire. */
  Optional<QuotaPermit> take(boolean holdsSlot, long nowMs) {
    if (available(holdsSlot, nowMs) < OPERATION - EPSILON) {
      return Optional.empty();
    }
    double fromReceived = received.take(OPERATION);
    double fromBucket = bucket.take(OPERATION - fromReceived, nowMs);
    allowed.record(nowMs);
    long takenIn = resets;
    return Optional.of(new QuotaPermit(() -> putBack(fromBucket, takenIn, nowMs)));
  }

  private void putBack(double tokens, long takenIn, long takenMs) {
    if (takenIn == resets) {
      bucket.put(tokens, takenMs);
    }
  }

  /** Takes tokens for another VM, without those of its own part that it soon needs. */
  double give(double want, long nowMs) {
    if (!waiting.isEmpty()) {
      return 0;
    }
    double kept = Math.min(demand.perS(nowMs), bucket.ratePerS()) * AHEAD_MS / MS_PER_S;
    double spare = Math.max(0, bucket.level(nowMs) - kept);
    double room = lender.room(allowance.giftLimit(quota, slots), nowMs);
    double given = bucket.take(Math.min(want, Math.min(spare, room)), nowMs);
    if (given <= EPSILON) {
      bucket.put(given, nowMs);
      return 0;
    }
    lender.record(given, nowMs);
    return given;
  }

  /** Adds tokens of another VM; those above the capacity of the bucket expire soon. */
  void receive(double tokens, boolean holdsSlot, long sentMs, long nowMs) {
    double above = holdsSlot ? bucket.put(tokens, nowMs) : tokens;
    received.add(above, sentMs + ReceivedTokens.VALID_MS);
  }

  /** Returns the tokens to ask other VMs for; 0 while the own part covers the demand. */
  double missing(boolean holdsSlot, long nowMs) {
    double perS = demand.perS(nowMs);
    boolean above = perS > bucket.ratePerS();
    double ahead = above ? Math.floor(perS * AHEAD_MS / MS_PER_S) : 0;
    double needed = waiting.size() * OPERATION + ahead;
    return Math.max(0, needed - available(holdsSlot, nowMs) - asked);
  }

  /** Returns whether so few tokens are left that more are asked for before they are used up. */
  boolean isLow(boolean holdsSlot, long nowMs) {
    return available(holdsSlot, nowMs) < demand.perS(nowMs) * AHEAD_MS / MS_PER_S / 2;
  }

  double asked() {
    return asked;
  }

  void addAsked(double tokens) {
    asked = Math.max(0, asked + tokens);
  }

  /** Returns the most tokens that one other VM gives at a time. */
  double giftLimit() {
    return allowance.giftLimit(quota, slots);
  }

  /** Returns the time until the bucket has one more token, in milliseconds. */
  long ownTokenMs(boolean holdsSlot, long nowMs) {
    if (!holdsSlot) {
      return Long.MAX_VALUE;
    }
    double missing = OPERATION * (1 + waiting.size()) - available(true, nowMs);
    return (long) Math.ceil(Math.max(1, missing * MS_PER_S / bucket.ratePerS()));
  }

  /** Returns the time in which another slot gains half a token, in milliseconds. */
  long halfTokenMs() {
    return (long) (MS_PER_S * slots / quota.ratePerS() / 2);
  }

  /**
   * Returns the time until there is room for one more operation, in milliseconds. Each refusal
   * states a later time, as the operations that were refused before it come back first.
   */
  long retryAfterMs(boolean holdsSlot, long nowMs) {
    double perMs = Math.max(bucket.ratePerS(), allowed.perS(nowMs)) / MS_PER_S;
    double missing = Math.max(0, OPERATION - available(holdsSlot, nowMs));
    long roomMs = nowMs + (long) Math.ceil(missing / perMs);
    promisedMs = Math.max(roomMs, promisedMs + (long) Math.ceil(1 / perMs));
    promisedMs = Math.clamp(promisedMs, nowMs + MIN_RETRY_MS, nowMs + MAX_RETRY_MS);
    return promisedMs - nowMs;
  }
}
