package io.lycheejunction.standin.model;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.standin.model.FaultInjector.Call;
import io.lycheejunction.standin.model.FaultInjector.FaultAction;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * Simulated transport of calls from one source, with delays and injected faults.
 *
 * @param source the failure domain that calls come from, or {@link Links#CLIENT}
 * @param faults selects the faults of calls
 * @param clock the clock for delays and timeouts
 */
record Transport(String source, FaultInjector faults, RuntimeClock clock) {
  Transport {
    Objects.requireNonNull(source, "source is null");
    Objects.requireNonNull(faults, "faults is null");
    Objects.requireNonNull(clock, "clock is null");
  }

  /** The effect of a call at the server. */
  interface Effect<T> {
    T run() throws InterruptedException;
  }

  /** The network path to a server and the state of the server. */
  interface Route {
    /** Returns whether the server refuses connections. */
    boolean refusesConnections();

    /** Returns whether the link is cut, so that requests and replies are lost. */
    boolean isCut();

    /** Returns whether the server is paused and sends no reply. */
    boolean isUnresponsive();

    /** Returns the one-way delay, in milliseconds. */
    long delayMs();

    /** Runs the request at the server; may defer or drop it. */
    void submit(Runnable request);
  }

  /**
   * The results of a call that gets no reply.
   *
   * @param refused the result if the connection is refused
   * @param lost the result if no reply arrives before the timeout
   */
  record Fallback<T>(T refused, T lost) {}

  /**
   * Returns the reply, or the fallback if the connection is refused or the reply is late or lost.
   */
  <T> T call(Call call, Route route, long timeoutMs, Effect<T> effect, Fallback<T> fallback) {
    try {
      return callInterruptibly(call, route, timeoutMs, effect, fallback);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return fallback.lost();
    }
  }

  private <T> T callInterruptibly(
      Call call, Route route, long timeoutMs, Effect<T> effect, Fallback<T> fallback)
      throws InterruptedException {
    final long deadlineMs = clock.monotonicMs() + timeoutMs;
    FaultAction before = faults.before(call);
    boolean canAnswer = applyFault(before, deadlineMs);
    if (before instanceof FaultAction.Refuse || (canAnswer && route.refusesConnections())) {
      return fallback.refused();
    }
    if (before instanceof FaultAction.LoseRequest || route.isCut()) {
      return lost(deadlineMs, fallback);
    }
    sleep(route.delayMs());
    AtomicReference<T> answer = new AtomicReference<>();
    submit(route, effect, answer::set);
    if (before instanceof FaultAction.Duplicate) {
      submit(route, effect, ignored -> {});
    }
    FaultAction after = faults.after(call);
    canAnswer &= applyFault(after, deadlineMs);
    if (answer.get() == null) {
      sleepUntil(deadlineMs);
    }
    boolean replyArrives = !route.isCut() && !route.refusesConnections() && !route.isUnresponsive();
    if (!canAnswer || answer.get() == null || !replyArrives) {
      return lost(deadlineMs, fallback);
    }
    sleep(route.delayMs());
    return clock.monotonicMs() > deadlineMs ? fallback.lost() : answer.get();
  }

  private <T> void submit(Route route, Effect<T> effect, Consumer<T> answer) {
    route.submit(
        () -> {
          try {
            answer.accept(effect.run());
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  /** Applies the fault and returns whether a reply can still arrive in time. */
  private boolean applyFault(FaultAction injected, long deadlineMs) throws InterruptedException {
    return switch (injected) {
      case FaultAction.Pass pass -> true;
      case FaultAction.Duplicate duplicate -> true;
      case FaultAction.Refuse refuse -> false;
      case FaultAction.LoseRequest lose -> false;
      case FaultAction.LoseReply lose -> false;
      case FaultAction.Run(Runnable body) -> {
        body.run();
        yield true;
      }
      case FaultAction.Delay(long delayMs) -> {
        boolean inTime = clock.monotonicMs() + delayMs < deadlineMs;
        sleep(delayMs);
        yield inTime;
      }
    };
  }

  private <T> T lost(long deadlineMs, Fallback<T> fallback) throws InterruptedException {
    sleepUntil(deadlineMs);
    return fallback.lost();
  }

  private void sleepUntil(long deadlineMs) throws InterruptedException {
    sleep(deadlineMs - clock.monotonicMs());
  }

  private void sleep(long durationMs) throws InterruptedException {
    if (durationMs > 0) {
      clock.sleepMs(durationMs);
    }
  }
}
