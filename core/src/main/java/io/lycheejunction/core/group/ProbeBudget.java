package io.lycheejunction.core.group;

/**
 * Derives the interval between probes from a bandwidth limit.
 *
 * @param budgetBytesPerSecond the bandwidth that one proxy may use for probes, in bytes per second
 * @param probeBytes the size of one probe and its answer on the wire, in bytes
 * @param floorMs the shortest interval, in milliseconds
 * @param ceilingMs the longest interval, in milliseconds
 */
public record ProbeBudget(
    long budgetBytesPerSecond, long probeBytes, long floorMs, long ceilingMs) {
  /** The bandwidth that one proxy may use for control messages, in bytes per second. */
  public static final long CONTROL_BYTES_PER_SECOND = 3 * 1024;

  /** The size of a status request on an open HTTP connection and of its answer, in bytes. */
  public static final long PROBE_BYTES = 400;

  /** The shortest interval between probes, in milliseconds. */
  public static final long MIN_INTERVAL_MS = 50;

  /** The longest interval between probes, in milliseconds. */
  public static final long MAX_INTERVAL_MS = 1_000;

  private static final long MS_PER_SECOND = 1_000;

  /** Rejects values below 1, and a shortest interval above the longest. */
  public ProbeBudget {
    if (budgetBytesPerSecond < 1 || probeBytes < 1 || floorMs < 1 || ceilingMs < floorMs) {
      throw new IllegalArgumentException(
          "budgetBytesPerSecond, probeBytes or floorMs is below 1, or ceilingMs is below floorMs");
    }
  }

  /**
   * Returns the budget with the default values.
   *
   * @return the budget
   */
  public static ProbeBudget standard() {
    return new ProbeBudget(CONTROL_BYTES_PER_SECOND, PROBE_BYTES, MIN_INTERVAL_MS, MAX_INTERVAL_MS);
  }

  /**
   * Returns the interval between two probes of each instance.
   *
   * @param probesPerRound the number of probes to other failure domains in one round
   * @return the interval in milliseconds, within {@code floorMs} and {@code ceilingMs}
   */
  public long intervalMs(int probesPerRound) {
    long unboundedMs = probesPerRound * probeBytes * MS_PER_SECOND / budgetBytesPerSecond;
    return Math.clamp(unboundedMs, floorMs, ceilingMs);
  }
}
