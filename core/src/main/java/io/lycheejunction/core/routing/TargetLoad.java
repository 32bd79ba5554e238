package io.lycheejunction.core.routing;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.term.LogPosition;
import java.util.Objects;
import java.util.Optional;

/**
 * What a proxy has learnt of a target from its answers and refusals; immutable.
 *
 * <p>A refusal for lagging data halves the share of such reads that the target gets. The share
 * grows back evenly over time, so that a replica that has caught up takes its reads back without
 * jumps.
 *
 * @param queued the statements that waited for the target at its last answer
 * @param applied the latest position that the target has shown
 * @param ageMs the age bound of its last answer, in milliseconds, if one was proven
 * @param answeredAtMs the time of that answer on the monotonic clock, in milliseconds
 * @param floorShare the share of reads with a floor that the target has not shown yet
 * @param ageShare the share of reads with a maximum age
 * @param sharesAtMs the time at which the shares had these values, in milliseconds
 * @param overloadedUntilMs the time until which the target refuses work, in milliseconds
 * @param unreachableUntilMs the time until which the target is taken to be out of reach, in
 *     milliseconds
 */
public record TargetLoad(
    int queued,
    LogPosition applied,
    Optional<Long> ageMs,
    long answeredAtMs,
    double floorShare,
    double ageShare,
    long sharesAtMs,
    long overloadedUntilMs,
    long unreachableUntilMs) {
  private static final long RECOVERY_MS = 2_000;
  private static final long AGE_HINT_MS = 2_000;
  private static final long REFUSED_MS = 50;
  private static final long UNREACHABLE_MS = 500;
  private static final double MIN_SHARE = 0.02;
  private static final double FULL_AGE = 0.75;
  private static final double NO_AGE = 1.25;
  private static final TargetLoad UNKNOWN =
      new TargetLoad(
          0, LogPosition.ORIGIN, Optional.empty(), 0, 1, 1, 0, Long.MIN_VALUE, Long.MIN_VALUE);

  /** Rejects null components. */
  public TargetLoad {
    Objects.requireNonNull(applied, "applied is null");
    Objects.requireNonNull(ageMs, "ageMs is null");
  }

  /**
   * Returns what is known of a target before its first answer.
   *
   * @return the load, with full shares
   */
  public static TargetLoad unknown() {
    return UNKNOWN;
  }

  /**
   * Returns the load after an answer.
   *
   * @param queuedNow the statements that wait for the target
   * @param position the position of the answer
   * @param age the age bound of the answer in milliseconds, if one was proven
   * @param nowMs the monotonic time, in milliseconds
   * @return the load
   */
  public TargetLoad answered(int queuedNow, LogPosition position, Optional<Long> age, long nowMs) {
    return new TargetLoad(
        queuedNow,
        applied.max(position),
        age,
        nowMs,
        floorShare,
        ageShare,
        sharesAtMs,
        Long.MIN_VALUE,
        Long.MIN_VALUE);
  }

  /**
   * Returns the load after a refusal.
   *
   * @param fault the refusal
   * @param nowMs the monotonic time, in milliseconds
   * @return the load
   */
  public TargetLoad refused(Fault fault, long nowMs) {
    return switch (fault.code()) {
      case NOT_FRESH -> withShares(floorShareAt(nowMs) / 2, ageShareAt(nowMs), nowMs);
      case AGE_NOT_PROVEN -> withShares(floorShareAt(nowMs), ageShareAt(nowMs) / 2, nowMs);
      case QUEUE_FULL, WAIT_TOO_LONG, NO_CONNECTION, DEADLINE_EXCEEDED ->
          withLimits(nowMs + Math.max(REFUSED_MS, fault.retryAfterMs()), unreachableUntilMs);
      case CIRCUIT_OPEN, TARGET_UNREACHABLE, PEER_UNREACHABLE, UNKNOWN_OUTCOME ->
          withLimits(overloadedUntilMs, nowMs + Math.max(UNREACHABLE_MS, fault.retryAfterMs()));
      default -> this;
    };
  }

  /**
   * Returns the share of reads of the given rules that the target should get.
   *
   * @param floor the position that the read must see
   * @param maxAgeMs the largest age of the read's data in milliseconds, if it has a rule
   * @param nowMs the monotonic time, in milliseconds
   * @return the share, from just above 0 to 1
   */
  public double shareOf(LogPosition floor, Optional<Long> maxAgeMs, long nowMs) {
    double byFloor = applied.isAtLeast(floor) ? 1 : floorShareAt(nowMs);
    double byAge = maxAgeMs.map(limit -> ageShareAt(nowMs) * ageFactor(limit, nowMs)).orElse(1.0);
    return Math.max(MIN_SHARE, byFloor * byAge);
  }

  /**
   * Returns whether the target is known to refuse work for lack of room.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @return true if it is overloaded
   */
  public boolean isOverloaded(long nowMs) {
    return nowMs < overloadedUntilMs;
  }

  /**
   * Returns whether the target is taken to be out of reach.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @return true if it is unreachable
   */
  public boolean isUnreachable(long nowMs) {
    return nowMs < unreachableUntilMs;
  }

  private double ageFactor(long limitMs, long nowMs) {
    if (ageMs.isEmpty() || nowMs - answeredAtMs > AGE_HINT_MS || limitMs <= 0) {
      return 1;
    }
    double part = (double) ageMs.get() / limitMs;
    return Math.clamp((NO_AGE - part) / (NO_AGE - FULL_AGE), 0.0, 1.0);
  }

  private double floorShareAt(long nowMs) {
    return grown(floorShare, nowMs);
  }

  private double ageShareAt(long nowMs) {
    return grown(ageShare, nowMs);
  }

  private double grown(double share, long nowMs) {
    double growth = (double) Math.max(0, nowMs - sharesAtMs) / RECOVERY_MS;
    return Math.min(1, share + growth);
  }

  private TargetLoad withShares(double byFloor, double byAge, long nowMs) {
    return new TargetLoad(
        queued,
        applied,
        ageMs,
        answeredAtMs,
        Math.max(MIN_SHARE, byFloor),
        Math.max(MIN_SHARE, byAge),
        nowMs,
        overloadedUntilMs,
        unreachableUntilMs);
  }

  private TargetLoad withLimits(long overloadedMs, long unreachableMs) {
    return new TargetLoad(
        queued,
        applied,
        ageMs,
        answeredAtMs,
        floorShare,
        ageShare,
        sharesAtMs,
        overloadedMs,
        unreachableMs);
  }
}
