package io.lycheejunction.core.burn;

/**
 * The pairs of windows for multi-window burn-rate alerts. A pair raises an alert when the burn
 * rates over both its windows are above its threshold.
 */
public enum WindowPair {
  /** 5 minutes and 1 hour; the threshold spends 2% of a 30-day error budget in 1 hour. */
  FAST(5, 60, 14.4),
  /** 30 minutes and 6 hours; the threshold spends 5% of a 30-day error budget in 6 hours. */
  MIDDLE(30, 360, 6),
  /** 6 hours and 3 days; the threshold spends 10% of a 30-day error budget in 3 days. */
  SLOW(360, 4_320, 1);

  private final int shortMinutes;
  private final int longMinutes;
  private final double threshold;

  WindowPair(int shortMinutes, int longMinutes, double threshold) {
    this.shortMinutes = shortMinutes;
    this.longMinutes = longMinutes;
    this.threshold = threshold;
  }

  /**
   * Returns the length of the short window.
   *
   * @return the length in minutes
   */
  public int shortMinutes() {
    return shortMinutes;
  }

  /**
   * Returns the length of the long window.
   *
   * @return the length in minutes
   */
  public int longMinutes() {
    return longMinutes;
  }

  /**
   * Returns the burn rate above which both windows must be for an alert.
   *
   * @return the burn rate
   */
  public double threshold() {
    return threshold;
  }
}
