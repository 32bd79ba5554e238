package io.lycheejunction.core.burn;

/** The pairs of windows whose burn rates raise an alert when both are above the threshold. */
public enum WindowPair {
  /** Five minutes and an hour. */
  FAST(5, 60, 14.4),
  /** Half an hour and six hours. */
  MIDDLE(30, 360, 6),
  /** Six hours and three days. */
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
   * @return minutes
   */
  public int shortMinutes() {
    return shortMinutes;
  }

  /**
   * Returns the length of the long window.
   *
   * @return minutes
   */
  public int longMinutes() {
    return longMinutes;
  }

  /**
   * Returns the burn rate above which both windows raise the alert.
   *
   * @return the rate
   */
  public double threshold() {
    return threshold;
  }
}
