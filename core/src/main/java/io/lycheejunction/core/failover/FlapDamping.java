package io.lycheejunction.core.failover;

import java.util.ArrayList;
import java.util.List;

/**
 * Delays repeated failovers of one group; the first is never delayed.
 *
 * @param promotionsMs the monotonic times of recent promotions, oldest first, in milliseconds
 */
public record FlapDamping(List<Long> promotionsMs) {
  /** The time after which a promotion no longer delays a claim, in milliseconds. */
  public static final long WINDOW_MS = 600_000;

  private static final long MIN_PAUSE_MS = 2_000;
  private static final long MAX_PAUSE_MS = 60_000;
  private static final int MAX_DOUBLINGS = 10;

  /** Copies the list. */
  public FlapDamping {
    promotionsMs = List.copyOf(promotionsMs);
  }

  /**
   * Returns the state before the first promotion.
   *
   * @return a state that allows a claim at any time
   */
  public static FlapDamping empty() {
    return new FlapDamping(List.of());
  }

  /**
   * Returns the state after one more promotion.
   *
   * @param nowMs the monotonic time of the promotion, in milliseconds
   * @return the new state
   */
  public FlapDamping afterPromotion(long nowMs) {
    List<Long> next = new ArrayList<>(recent(nowMs));
    next.add(nowMs);
    return new FlapDamping(next);
  }

  /**
   * Returns whether a claim may start.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @return false during the pause after the last promotion; the pause doubles with each promotion
   */
  public boolean allowsClaim(long nowMs) {
    List<Long> recent = recent(nowMs);
    return recent.isEmpty() || nowMs - recent.getLast() >= pauseMs(recent.size());
  }

  private static long pauseMs(int promotions) {
    long pauseMs = MIN_PAUSE_MS << Math.min(promotions - 1, MAX_DOUBLINGS);
    return Math.min(pauseMs, MAX_PAUSE_MS);
  }

  private List<Long> recent(long nowMs) {
    return promotionsMs.stream().filter(promotedMs -> nowMs - promotedMs < WINDOW_MS).toList();
  }
}
