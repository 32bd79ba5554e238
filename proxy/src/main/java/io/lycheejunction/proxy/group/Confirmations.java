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
 * Confirms terms and positions of one group by majority rounds, one at a time.
 *
 * <p>The round runs on the thread of one caller; the others wait for its end and share its result.
 */
final class Confirmations {
  private final GroupState state;
  private final Rounds rounds;
  private final RuntimeClock clock;
  private final GroupSettings settings;
  private final ReentrantLock round = new ReentrantLock();
  private volatile long failedStartMs = Long.MIN_VALUE;
  private volatile long failedEndMs = Long.MIN_VALUE;
  private LogPosition wanted = LogPosition.ORIGIN;

  Confirmations(GroupState state, Rounds rounds, RuntimeClock clock, GroupSettings settings) {
    this.state = state;
    this.rounds = rounds;
    this.clock = clock;
    this.settings = settings;
  }

  /**
   * Returns the view if a majority has confirmed the term within the lease.
   *
   * <p>Shortly after a round that found no majority the call fails at once.
   *
   * @param spec the group
   * @param term the term
   * @param timeoutMs the time to wait, in milliseconds
   * @return the view, or {@code MAJORITY_LOST}, {@code NO_PRIMARY} or {@code NOT_PRIMARY}
   */
  Result<GroupView> confirmTerm(GroupSpec spec, long term, long timeoutMs) {
    long arrivalMs = clock.monotonicMs();
    if (state.isFrozen(term, arrivalMs)) {
      return Result.failure(
          ResultCode.NO_PRIMARY, "group " + spec.name() + " is handing over its primary");
    }
    if (isFailing(arrivalMs)) {
      return majorityLost(spec);
    }
    if (isConfirmed(term)) {
      return checked(term);
    }
    round.lock();
    try {
      if (isConfirmed(term)) {
        return checked(term);
      }
      long nowMs = clock.monotonicMs();
      if (isFailing(nowMs) || nowMs - arrivalMs >= timeoutMs) {
        return majorityLost(spec);
      }
      MajorityTally tally = lead(spec, term, t -> t.isConfirmed(term), Optional.empty(), timeoutMs);
      if (!tally.hasQuorum()) {
        return majorityLost(spec);
      }
      return isConfirmed(term) ? checked(term) : notConfirmed(spec, term, tally);
    } finally {
      round.unlock();
    }
  }

  private boolean isFailing(long nowMs) {
    return failedEndMs != Long.MIN_VALUE
        && failedStartMs >= state.lease().startMs()
        && nowMs - failedEndMs < settings.roundTimeoutMs();
  }

  private boolean isConfirmed(long term) {
    return mayAcknowledge(term);
  }

  private Result<GroupView> checked(long term) {
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

  private MajorityTally lead(
      GroupSpec spec,
      long term,
      Predicate<MajorityTally> isEnough,
      Optional<LogPosition> awaited,
      long timeoutMs) {
    long startMs = clock.monotonicMs();
    long boundMs = Math.max(1, Math.min(timeoutMs, settings.roundTimeoutMs()));
    MajorityTally tally = rounds.run(spec, spec.targets(), state, awaited, isEnough, boundMs);
    if (!tally.isConfirmed(term)) {
      failedStartMs = startMs;
      failedEndMs = clock.monotonicMs();
    }
    return tally;
  }

  /**
   * Returns the view once a majority has received the position in its term, within the lease.
   *
   * @param spec the group
   * @param position the position
   * @param timeoutMs the time to wait, in milliseconds
   * @return the view, or {@code UNKNOWN_OUTCOME}
   */
  Result<GroupView> confirmReceived(GroupSpec spec, LogPosition position, long timeoutMs) {
    long untilMs = clock.monotonicMs() + timeoutMs;
    want(position);
    while (state.view().term() <= position.term()) {
      round.lock();
      try {
        if (isReceived(position)) {
          return Result.success(state.view());
        }
        long remainingMs = untilMs - clock.monotonicMs();
        if (remainingMs <= 0) {
          break;
        }
        LogPosition batch = batch(position);
        lead(spec, batch.term(), t -> t.isReceived(batch), Optional.of(batch), remainingMs);
        if (isReceived(position)) {
          return Result.success(state.view());
        }
      } finally {
        round.unlock();
      }
      if (!pause(untilMs)) {
        break;
      }
    }
    return Result.failure(
        ResultCode.UNKNOWN_OUTCOME,
        "no majority of group " + spec.name() + " confirmed term " + position.term() + " in time");
  }

  private boolean pause(long untilMs) {
    if (clock.monotonicMs() >= untilMs) {
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

  private synchronized void want(LogPosition position) {
    wanted = wanted.max(position);
  }

  private synchronized LogPosition batch(LogPosition position) {
    return wanted.term() == position.term() ? wanted : position;
  }

  private boolean isReceived(LogPosition position) {
    LogPosition received = state.received();
    return received.term() == position.term()
        && received.isAtLeast(position)
        && mayAcknowledge(position.term());
  }

  /**
   * Returns whether an answer of the term may be sent now.
   *
   * @param term the term
   * @return true within the lease
   */
  boolean mayAcknowledge(long term) {
    return state.view().term() <= term
        && state.lease().covers(term, clock.monotonicMs(), settings.ackLeaseMs());
  }
}
