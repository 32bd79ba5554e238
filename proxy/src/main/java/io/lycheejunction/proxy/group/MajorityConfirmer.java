package io.lycheejunction.proxy.group;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.group.MajorityTally;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;

/**
 * Confirms terms and positions of one group by majority rounds; at most one round runs at a time.
 *
 * <p>A round runs on the thread of one caller; concurrent callers wait for it and share its result.
 */
final class MajorityConfirmer {
  private final GroupState state;
  private final StatusRounds rounds;
  private final RuntimeClock clock;
  private final GroupSettings settings;
  private final ReentrantLock roundLock = new ReentrantLock();
  private volatile long failedRoundStartMs = Long.MIN_VALUE;
  private volatile long failedRoundEndMs = Long.MIN_VALUE;
  private LogPosition highestRequested = LogPosition.ORIGIN;

  MajorityConfirmer(
      GroupState state, StatusRounds rounds, RuntimeClock clock, GroupSettings settings) {
    this.state = state;
    this.rounds = rounds;
    this.clock = clock;
    this.settings = settings;
  }

  /**
   * Returns the view if a majority has confirmed the term within the acknowledgement lease, and
   * runs a round if necessary.
   *
   * <p>The call fails without a round if a recent round found no majority.
   *
   * @param spec the group
   * @param term the term
   * @param timeoutMs the time to wait, in milliseconds
   * @return the view, or {@code MAJORITY_LOST}, {@code NO_PRIMARY} or {@code NOT_PRIMARY}
   */
  Result<GroupView> confirmTerm(GroupSpec spec, long term, long timeoutMs) {
    long calledMs = clock.monotonicMs();
    if (state.isFrozen(term, calledMs)) {
      return Result.failure(
          ResultCode.NO_PRIMARY, "group " + spec.name() + " is switching to another primary");
    }
    if (hasRoundFailedRecently(calledMs)) {
      return majorityLost(spec);
    }
    if (isConfirmed(term)) {
      return viewAtTerm(term);
    }
    roundLock.lock();
    try {
      if (isConfirmed(term)) {
        return viewAtTerm(term);
      }
      long nowMs = clock.monotonicMs();
      if (hasRoundFailedRecently(nowMs) || nowMs - calledMs >= timeoutMs) {
        return majorityLost(spec);
      }
      MajorityTally tally =
          runRound(spec, term, t -> t.isConfirmed(term), Optional.empty(), timeoutMs);
      if (!tally.hasQuorum()) {
        return majorityLost(spec);
      }
      return isConfirmed(term) ? viewAtTerm(term) : notConfirmed(spec, term, tally);
    } finally {
      roundLock.unlock();
    }
  }

  private boolean hasRoundFailedRecently(long nowMs) {
    return failedRoundEndMs != Long.MIN_VALUE
        && failedRoundStartMs >= state.lease().startMs()
        && nowMs - failedRoundEndMs < settings.roundTimeoutMs();
  }

  private boolean isConfirmed(long term) {
    return mayAcknowledge(term);
  }

  private Result<GroupView> viewAtTerm(long term) {
    GroupView view = state.view();
    if (view.term() > term) {
      return Result.failure(
          ResultCode.NOT_PRIMARY, "group " + view.group() + " is at term " + view.term());
    }
    if (view.term() < term || view.primary().isEmpty()) {
      return Result.failure(
          ResultCode.NO_PRIMARY, "group " + view.group() + " has no known primary");
    }
    return Result.success(view);
  }

  private static Result<GroupView> majorityLost(GroupSpec spec) {
    return Result.failure(
        ResultCode.MAJORITY_LOST,
        "fewer than " + spec.majority() + " instances of group " + spec.name() + " answer");
  }

  private static Result<GroupView> notConfirmed(GroupSpec spec, long term, MajorityTally tally) {
    if (tally.highestTerm() > term) {
      return Result.failure(
          ResultCode.NOT_PRIMARY,
          "group " + spec.name() + " has moved to term " + tally.highestTerm());
    }
    return Result.failure(
        ResultCode.MAJORITY_LOST, "no majority of group " + spec.name() + " confirms term " + term);
  }

  private MajorityTally runRound(
      GroupSpec spec,
      long term,
      Predicate<MajorityTally> isEnough,
      Optional<LogPosition> awaitedPosition,
      long timeoutMs) {
    long startMs = clock.monotonicMs();
    long roundTimeoutMs = Math.max(1, Math.min(timeoutMs, settings.roundTimeoutMs()));
    MajorityTally tally =
        rounds.run(spec, spec.targets(), state, awaitedPosition, isEnough, roundTimeoutMs);
    if (!tally.isConfirmed(term)) {
      failedRoundStartMs = startMs;
      failedRoundEndMs = clock.monotonicMs();
    }
    return tally;
  }

  /**
   * Returns the view once a majority has received the position in its term and the acknowledgement
   * lease is in force.
   *
   * @param spec the group
   * @param position the position
   * @param timeoutMs the time to wait, in milliseconds
   * @return the view, or {@code UNKNOWN_OUTCOME}
   */
  Result<GroupView> confirmReceived(GroupSpec spec, LogPosition position, long timeoutMs) {
    long deadlineMs = clock.monotonicMs() + timeoutMs;
    recordRequested(position);
    while (state.view().term() <= position.term()) {
      roundLock.lock();
      try {
        if (isReceived(position)) {
          return Result.success(state.view());
        }
        long remainingMs = deadlineMs - clock.monotonicMs();
        if (remainingMs <= 0) {
          break;
        }
        LogPosition positionToConfirm = positionToConfirm(position);
        runRound(
            spec,
            positionToConfirm.term(),
            t -> t.isReceived(positionToConfirm),
            Optional.of(positionToConfirm),
            remainingMs);
        if (isReceived(position)) {
          return Result.success(state.view());
        }
      } finally {
        roundLock.unlock();
      }
      if (!pause(deadlineMs)) {
        break;
      }
    }
    return Result.failure(
        ResultCode.UNKNOWN_OUTCOME,
        "no majority of group " + spec.name() + " confirmed term " + position.term() + " in time");
  }

  private boolean pause(long deadlineMs) {
    if (clock.monotonicMs() >= deadlineMs) {
      return false;
    }
    try {
      clock.sleepMs(1);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private synchronized void recordRequested(LogPosition position) {
    highestRequested = highestRequested.max(position);
  }

  /**
   * Returns the highest position requested in the same term, so that one round serves all callers.
   */
  private synchronized LogPosition positionToConfirm(LogPosition position) {
    return highestRequested.term() == position.term() ? highestRequested : position;
  }

  private boolean isReceived(LogPosition position) {
    LogPosition received = state.majorityReceived();
    return received.term() == position.term()
        && received.isAtLeast(position)
        && mayAcknowledge(position.term());
  }

  /**
   * Returns whether an answer of the term may be sent now.
   *
   * @param term the term
   * @return true if the acknowledgement lease of the term is in force and no higher term is known
   */
  boolean mayAcknowledge(long term) {
    return state.view().term() <= term
        && state.lease().covers(term, clock.monotonicMs(), settings.ackLeaseMs());
  }
}
