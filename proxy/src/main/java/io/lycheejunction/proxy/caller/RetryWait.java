package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.retry.Backoff;
import java.util.Objects;
import java.util.random.RandomGenerator;

/** Waits between attempts of a request until the group has a new term or a random backoff ends. */
final class RetryWait {
  private static final long MIN_WAIT_MS = 5;
  private static final Backoff BACKOFF = new Backoff(10, 160);

  private final GroupMonitor monitor;
  private final RuntimeClock clock;
  private final RandomGenerator random;

  /**
   * Creates the wait.
   *
   * @param monitor the known terms of the groups
   * @param clock the runtime clock
   * @param random the source of jitter
   */
  RetryWait(GroupMonitor monitor, RuntimeClock clock, RandomGenerator random) {
    this.monitor = Objects.requireNonNull(monitor, "monitor is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.random = Objects.requireNonNull(random, "random is null");
  }

  /**
   * Waits until the group's term is higher than the given one, for at most a random backoff that
   * grows with the number of attempts; returns early if the thread is interrupted.
   *
   * @param group the name of the group
   * @param term the term of the last attempt
   * @param attempt the number of attempts so far
   * @param deadline the deadline of the request
   */
  void pause(String group, long term, int attempt, Deadline deadline) {
    long waitMs = Math.max(MIN_WAIT_MS, BACKOFF.delayMs(attempt, 0, random));
    long untilMs = clock.monotonicMs() + Math.min(waitMs, deadline.remainingMs());
    GroupView view = monitor.awaitHigherTerm(group, term, untilMs - clock.monotonicMs());
    if (view.term() > term) {
      return;
    }
    sleepUntil(untilMs);
  }

  private void sleepUntil(long untilMs) {
    long remainingMs = untilMs - clock.monotonicMs();
    if (remainingMs <= 0) {
      return;
    }
    try {
      clock.sleepMs(remainingMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
