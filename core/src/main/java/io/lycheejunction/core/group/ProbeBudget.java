package io.lycheejunction.core.group;

/**
 * Derives the interval between probes from the bytes that a proxy may spend on them.
 *
 * @param budgetBytesPerSecond the bytes that one proxy may spend on probes in a second
 * @param probeBytes the bytes that one probe and its answer take on the wire
 * @param floorMs the shortest interval, in milliseconds
 * @param ceilingMs the longest interval, in milliseconds
 */
public record ProbeBudget(
    long budgetBytesPerSecond, long probeBytes, long floorMs, long ceilingMs) {
  /** The bytes that one proxy may spend on control messages in a second. */
  public static final long CONTROL_BYTES_PER_SECOND = 3 * 1024;

  /** The bytes of one status request over an open HTTP connection and of its answer. */
  public static final long PROBE_BYTES = 400;

  /** The shortest interval between probes, in milliseconds. */
  public static final long FLOOR_MS = 50;

  /** The longest interval between probes, in milliseconds. */
  public static final long CEILING_MS = 1_000;

  private static final long MS_PER_SECOND = 1_000;

  /** Rejects bounds that leave no interval. */
  public ProbeBudget {
    if (budgetBytesPerSecond < 1 || probeBytes < 1 || floorMs < 1 || ceilingMs < floorMs) {
      throw new IllegalArgumentException("probe budget leaves no interval");
    }
  }

  /**
   * Returns the budget with the constants of this class.
   *
   * @return the budget
   */
  public static ProbeBudget standard() {
    return new ProbeBudget(CONTROL_BYTES_PER_SECOND, PROBE_BYTES, FLOOR_MS, CEILING_MS);
  }

  /**
   * Returns the interval between two probes of each instance.
   *
   * @param probesPerRound the probes to other failure domains that one round sends
   * @return the interval, in milliseconds
   */
  public long intervalMs(int probesPerRound) {
    long wantedMs = probesPerRound * probeBytes * MS_PER_SECOND / budgetBytesPerSecond;
    return Math.clamp(wantedMs, floorMs, ceilingMs);
  }
}
