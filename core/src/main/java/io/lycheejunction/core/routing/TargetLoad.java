package io.lycheejunction.core.routing;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.term.LogPosition;
import java.util.Objects;
import java.util.Optional;

/**
 * The load and lag of a target, as a proxy infers them from its answers and refusals; immutable.
 *
 * <p>A refusal because of stale data halves the share of such reads that the target gets. The share
 * recovers linearly over time, so that the load of a replica that has caught up rises without a
 * jump.
 *
 * @param queued the number of statements that waited for the target at its last answer
 * @param applied the latest position that the target is known to have applied
 * @param ageMs the proven upper bound for the data's age at the last answer, in milliseconds, if
 *     there was one
 * @param answeredAtMs the monotonic time of that answer, in milliseconds
 * @param floorShare the share, from 0 to 1, of reads whose floor is above {@code applied}
 * @param ageShare the share, from 0 to 1, of reads with a maximum age
 * @param sharesAtMs the monotonic time at which the shares had these values, in milliseconds
 * @param overloadedUntilMs the monotonic time until which the target counts as overloaded, in
 *     milliseconds
 * @param unreachableUntilMs the monotonic time until which the target counts as unreachable, in
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
  private static final long AGE_VALIDITY_MS = 2_000;
  private static final long MIN_OVERLOADED_MS = 50;
  private static final long MIN_UNREACHABLE_MS = 500;
  private static final double MIN_SHARE = 0.02;
  private static final double FULL_SHARE_AGE_RATIO = 0.75;
  private static final double NO_SHARE_AGE_RATIO = 1.25;
  private static final TargetLoad UNKNOWN =
      new TargetLoad(
          0, LogPosition.ORIGIN, Optional.empty(), 0, 1, 1, 0, Long.MIN_VALUE, Long.MIN_VALUE);

  /** Rejects null components. */
  public TargetLoad {
    Objects.requireNonNull(applied, "applied is null");
    Objects.requireNonNull(ageMs, "ageMs is null");
  }

  /**
   * Returns the load of a target before its first answer.
   *
   * @return a load with full shares that is neither overloaded nor unreachable
   */
  public static TargetLoad unknown() {
    return UNKNOWN;
  }

  /**
   * Returns the load after an answer.
   *
   * @param queuedNow the number of statements that wait for the target
   * @param position the position that the target had applied
   * @param age the proven upper bound for the data's age in milliseconds, if there is one
   * @param nowMs the monotonic time, in milliseconds
   * @return the new load
   */
  public TargetLoad afterAnswer(
      int queuedNow, LogPosition position, Optional<Long> age, long nowMs) {
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
   * @param fault the reason for the refusal; a code that indicates neither lag, overload nor
   *     unreachability changes nothing
   * @param nowMs the monotonic time, in milliseconds
   * @return the new load
   */
  public TargetLoad afterRefusal(Fault fault, long nowMs) {
    return switch (fault.code()) {
      case NOT_FRESH -> withShares(floorShareAt(nowMs) / 2, ageShareAt(nowMs), nowMs);
      case AGE_NOT_PROVEN -> withShares(floorShareAt(nowMs), ageShareAt(nowMs) / 2, nowMs);
      case QUEUE_FULL, WAIT_TOO_LONG, NO_CONNECTION, DEADLINE_EXCEEDED ->
          withTimeLimits(
              nowMs + Math.max(MIN_OVERLOADED_MS, fault.retryAfterMs()), unreachableUntilMs);
      case CIRCUIT_OPEN, TARGET_UNREACHABLE, PEER_UNREACHABLE, UNKNOWN_OUTCOME ->
          withTimeLimits(
              overloadedUntilMs, nowMs + Math.max(MIN_UNREACHABLE_MS, fault.retryAfterMs()));
      default -> this;
    };
  }

  /**
   * Returns the share of the reads with the given floor and maximum age that the target should get.
   *
   * @param floor the position that the target must have applied
   * @param maxAgeMs the maximum age of the data in milliseconds, if the reads have one
   * @param nowMs the monotonic time, in milliseconds
   * @return the share, from just above 0 to 1
   */
  public double shareOf(LogPosition floor, Optional<Long> maxAgeMs, long nowMs) {
    double byFloor = applied.isAtLeast(floor) ? 1 : floorShareAt(nowMs);
    double byAge = maxAgeMs.map(limit -> ageShareAt(nowMs) * ageFactor(limit, nowMs)).orElse(1.0);
    return Math.max(MIN_SHARE, byFloor * byAge);
  }

  /**
   * Returns whether the target has recently refused work because of overload.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @return true if it is overloaded
   */
  public boolean isOverloaded(long nowMs) {
    return nowMs < overloadedUntilMs;
  }

  /**
   * Returns whether the target could not be reached recently.
   *
   * @param nowMs the monotonic time, in milliseconds
   * @return true if it is unreachable
   */
  public boolean isUnreachable(long nowMs) {
    return nowMs < unreachableUntilMs;
  }

  private double ageFactor(long limitMs, long nowMs) {
    if (ageMs.isEmpty() || nowMs - answeredAtMs > AGE_VALIDITY_MS || limitMs <= 0) {
      return 1;
    }
    double ageRatio = (double) ageMs.get() / limitMs;
    return Math.clamp(
        (NO_SHARE_AGE_RATIO - ageRatio) / (NO_SHARE_AGE_RATIO - FULL_SHARE_AGE_RATIO), 0.0, 1.0);
  }

  private double floorShareAt(long nowMs) {
    return recoveredShare(floorShare, nowMs);
  }

  private double ageShareAt(long nowMs) {
    return recoveredShare(ageShare, nowMs);
  }

  private double recoveredShare(double share, long nowMs) {
    double recovered = (double) Math.max(0, nowMs - sharesAtMs) / RECOVERY_MS;
    return Math.min(1, share + recovered);
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

  private TargetLoad withTimeLimits(long newOverloadedUntilMs, long newUnreachableUntilMs) {
    return new TargetLoad(
        queued,
        applied,
        ageMs,
        answeredAtMs,
        floorShare,
        ageShare,
        sharesAtMs,
        newOverloadedUntilMs,
        newUnreachableUntilMs);
  }
}
