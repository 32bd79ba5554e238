package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.configuration.CutOffReads;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import java.util.Optional;
import java.util.OptionalLong;

/** Checks whether a read may be answered with data at a given log position. */
final class FreshnessCheck {
  private static final int MAJORITY_OF_PRIMARY_AND_REPLICA = 2;

  private final GroupMonitor monitor;
  private final long confirmTimeoutMs;

  FreshnessCheck(GroupMonitor monitor, long confirmTimeoutMs) {
    this.monitor = monitor;
    this.confirmTimeoutMs = confirmTimeoutMs;
  }

  /**
   * Returns the proven upper bound of the data's age if the read may be answered with the data.
   *
   * @param read the read with its required position and age limit
   * @param group the target's group
   * @param position the position that the target reported with its answer
   * @param deadline the read's deadline
   * @return the age in milliseconds, or empty if none is proven and the read allows that; {@code
   *     NOT_FRESH} if the position is too old or may be lost in a failover; {@code AGE_NOT_PROVEN}
   *     if no age within the limit is proven
   */
  Result<Optional<Long>> check(
      HolderStatement read, GroupSpec group, LogPosition position, Deadline deadline) {
    if (!position.isAtLeast(read.floor())) {
      return notFresh(read, "has not applied the position that the session requires");
    }
    if (!isReceivedByMajority(read, group, position, deadline)) {
      return notFresh(read, "reported a position that no majority is known to have received");
    }
    return checkAge(read, position, deadline);
  }

  /**
   * Returns whether a majority is known to have received the position.
   *
   * <p>Every later primary then has the position, so a failover cannot discard the data.
   */
  private boolean isReceivedByMajority(
      HolderStatement read, GroupSpec group, LogPosition position, Deadline deadline) {
    GroupView view = monitor.view(read.group());
    if (isConfirmed(view, position)) {
      return true;
    }
    if (position.term() < view.term()) {
      return false;
    }
    if (isOnMajority(view, group, read.target(), position)) {
      return true;
    }
    return !monitor
        .confirmReceived(read.group(), position, deadline.remainingMs(confirmTimeoutMs))
        .isEmpty();
  }

  private static boolean isConfirmed(GroupView view, LogPosition position) {
    LogPosition confirmed = view.confirmed();
    return position.equals(LogPosition.ORIGIN)
        || (position.term() == confirmed.term() && confirmed.isAtLeast(position));
  }

  /** Returns whether the replica and the primary that wrote the position form a majority. */
  private static boolean isOnMajority(
      GroupView view, GroupSpec group, String target, LogPosition position) {
    return group.majority() <= MAJORITY_OF_PRIMARY_AND_REPLICA
        && position.term() == view.term()
        && view.primary().isPresent()
        && !view.primary().get().equals(target);
  }

  private Result<Optional<Long>> checkAge(
      HolderStatement read, LogPosition position, Deadline deadline) {
    Optional<Long> age = ageMs(read, position);
    if (read.maxAgeMs().isEmpty() || isWithin(age, read)) {
      return Result.success(age);
    }
    long term = monitor.view(read.group()).term();
    boolean termConfirmed =
        !monitor.confirmTerm(read.group(), term, deadline.remainingMs(confirmTimeoutMs)).isEmpty();
    age = ageMs(read, position);
    if (isWithin(age, read)) {
      return Result.success(age);
    }
    if (!termConfirmed && read.cutOffReads() == CutOffReads.SERVE_OLDER) {
      return Result.success(Optional.empty());
    }
    return Result.failure(
        ResultCode.AGE_NOT_PROVEN, read.target() + " cannot prove a data age within the limit");
  }

  private Optional<Long> ageMs(HolderStatement read, LogPosition position) {
    OptionalLong age = monitor.maxDataAgeMs(read.group(), position);
    return age.isPresent() ? Optional.of(age.getAsLong()) : Optional.empty();
  }

  private static boolean isWithin(Optional<Long> age, HolderStatement read) {
    return age.isPresent() && age.get() <= read.maxAgeMs().orElse(Long.MAX_VALUE);
  }

  private static <T> Result<T> notFresh(HolderStatement read, String detail) {
    return Result.failure(ResultCode.NOT_FRESH, read.target() + " " + detail);
  }
}
