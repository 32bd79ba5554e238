package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.configuration.CutOffReads;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.group.GroupWatch;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import java.util.Optional;
import java.util.OptionalLong;

/** Decides whether a read may be answered with the data of a position. */
final class Freshness {
  private static final int MAJORITY_OF_PRIMARY_AND_REPLICA = 2;

  private final GroupWatch watch;
  private final long confirmMs;

  Freshness(GroupWatch watch, long confirmMs) {
    this.watch = watch;
    this.confirmMs = confirmMs;
  }

  /**
   * Returns the proven bound of the data's age if the read may be answered with it.
   *
   * @param read the read
   * @param group the target's group
   * @param seen the position that the target has shown
   * @param deadline the read's deadline
   * @return the age in milliseconds, empty if unproven and allowed; or {@code NOT_FRESH} or {@code
   *     AGE_NOT_PROVEN}
   */
  Result<Optional<Long>> judge(
      HeldStatement read, GroupSpec group, LogPosition seen, Deadline deadline) {
    if (!seen.isAtLeast(read.floor())) {
      return notFresh(read, "has not applied the position that the session requires");
    }
    if (!isShared(read, group, seen, deadline)) {
      return notFresh(read, "shows a position that no majority is known to have");
    }
    return judgeAge(read, seen, deadline);
  }

  /** Returns whether every later primary is certain to have the position. */
  private boolean isShared(
      HeldStatement read, GroupSpec group, LogPosition seen, Deadline deadline) {
    GroupView view = watch.view(read.group());
    if (isConfirmed(view, seen)) {
      return true;
    }
    if (seen.term() < view.term()) {
      return false;
    }
    if (isOnMajority(view, group, read.target(), seen)) {
      return true;
    }
    return !watch.confirmReceived(read.group(), seen, deadline.remainingMs(confirmMs)).isEmpty();
  }

  private static boolean isConfirmed(GroupView view, LogPosition seen) {
    LogPosition confirmed = view.confirmed();
    return seen.equals(LogPosition.ORIGIN)
        || (seen.term() == confirmed.term() && confirmed.isAtLeast(seen));
  }

  /** Returns whether the replica and the primary that wrote the position are a majority. */
  private static boolean isOnMajority(
      GroupView view, GroupSpec group, String target, LogPosition seen) {
    return group.majority() <= MAJORITY_OF_PRIMARY_AND_REPLICA
        && seen.term() == view.term()
        && view.primary().isPresent()
        && !view.primary().get().equals(target);
  }

  private Result<Optional<Long>> judgeAge(HeldStatement read, LogPosition seen, Deadline deadline) {
    Optional<Long> age = ageMs(read, seen);
    if (read.maxAgeMs().isEmpty() || isWithin(age, read)) {
      return Result.success(age);
    }
    long term = watch.view(read.group()).term();
    boolean reachable =
        !watch.confirmTerm(read.group(), term, deadline.remainingMs(confirmMs)).isEmpty();
    age = ageMs(read, seen);
    if (isWithin(age, read)) {
      return Result.success(age);
    }
    if (!reachable && read.cutOffReads() == CutOffReads.SERVE_OLDER) {
      return Result.success(Optional.empty());
    }
    return Result.failure(
        ResultCode.AGE_NOT_PROVEN, read.target() + " cannot show an age within the limit");
  }

  private Optional<Long> ageMs(HeldStatement read, LogPosition seen) {
    OptionalLong age = watch.ageMs(read.group(), seen);
    return age.isPresent() ? Optional.of(age.getAsLong()) : Optional.empty();
  }

  private static boolean isWithin(Optional<Long> age, HeldStatement read) {
    return age.isPresent() && age.get() <= read.maxAgeMs().orElse(Long.MAX_VALUE);
  }

  private static <T> Result<T> notFresh(HeldStatement read, String detail) {
    return Result.failure(ResultCode.NOT_FRESH, read.target() + " " + detail);
  }
}
