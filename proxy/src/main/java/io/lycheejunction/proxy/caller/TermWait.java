package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.group.GroupWatch;
import io.lycheejunction.core.retry.Backoff;
import java.util.Objects;
import java.util.random.RandomGenerator;

/** Waits between two attempts of a request: until a new term or for a random time. */
final class TermWait {
  private static final long SHORTEST_WAIT_MS = 5;
  private static final Backoff BACKOFF = new Backoff(10, 160);

  private final GroupWatch watch;
  private final RuntimeClock clock;
  private final RandomGenerator random;

  /**
   * Creates the wait.
   *
   * @param watch knows the groups
   * @param clock the runtime clock
   * @param random the source of jitter
   */
  TermWait(GroupWatch watch, RuntimeClock clock, RandomGenerator random) {
    this.watch = Objects.requireNonNull(watch, "watch is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.random = Objects.requireNonNull(random, "random is null");
  }

  /**
   * Returns once the group's term is higher than the given one, or after a random time that grows
   * with the number of attempts, or when the thread is interrupted.
   *
   * @param group the name of the group
   * @param term the term of the last attempt
   * @param attempt the number of attempts so far
   * @param deadline the deadline of the request
   */
  void pause(String group, long term, int attempt, Deadline deadline) {
    long waitMs = Math.max(SHORTEST_WAIT_MS, BACKOFF.delayMs(attempt, 0, random));
    long untilMs = clock.monotonicMs() + Math.min(waitMs, deadline.remainingMs());
    GroupView view = watch.awaitHigherTerm(group, term, untilMs - clock.monotonicMs());
    if (view.term() > term) {
      return;
    }
    sleepUntil(untilMs);
  }

  private void sleepUntil(long untilMs) {
    long leftMs = untilMs - clock.monotonicMs();
    if (leftMs <= 0) {
      return;
    }
    try {
      clock.sleepMs(leftMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
