package io.lycheejunction.core.failover;

import java.util.ArrayList;
import java.util.List;

/**
 * Spaces out repeated failovers of one group; the first is never delayed.
 *
 * @param promotionsMs the monotonic times of recent promotions, oldest first, in milliseconds
 */
public record FlapDamping(List<Long> promotionsMs) {
  /** The time after which a promotion is forgotten, in milliseconds. */
  public static final long WINDOW_MS = 600_000;

  private static final long FIRST_PAUSE_MS = 2_000;
  private static final long LONGEST_PAUSE_MS = 60_000;
  private static final int MAX_DOUBLINGS = 10;

  /** Copies the list. */
  public FlapDamping {
    promotionsMs = List.copyOf(promotionsMs);
  }

  /**
   * Returns the damping before the first promotion.
   *
   * @return the empty damping
   */
  public static FlapDamping empty() {
    return new FlapDamping(List.of());
  }

  /**
   * Returns the damping after one more promotion.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @return the new damping
   */
  public FlapDamping promoted(long nowMs) {
    List<Long> next = new ArrayList<>(recent(nowMs));
    next.add(nowMs);
    return new FlapDamping(next);
  }

  /**
   * Returns whether a claim may start.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @return false during the pause after the last promotion, which doubles with each one
   */
  public boolean allows(long nowMs) {
    List<Long> recent = recent(nowMs);
    return recent.isEmpty() || nowMs - recent.getLast() >= pauseMs(recent.size());
  }

  private static long pauseMs(int promotions) {
    long pauseMs = FIRST_PAUSE_MS << Math.min(promotions - 1, MAX_DOUBLINGS);
    return Math.min(pauseMs, LONGEST_PAUSE_MS);
  }

  private List<Long> recent(long nowMs) {
    return promotionsMs.stream().filter(at -> nowMs - at < WINDOW_MS).toList();
  }
}
