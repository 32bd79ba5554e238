package io.lycheejunction.standin.model;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.standin.model.FaultInjector.Call;
import io.lycheejunction.standin.model.FaultInjector.Injected;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/** Carries calls between a source and a server, with the faults that are injected. */
record Transport(String source, FaultInjector faults, RuntimeClock clock) {
  Transport {
    Objects.requireNonNull(source, "source is null");
    Objects.requireNonNull(faults, "faults is null");
    Objects.requireNonNull(clock, "clock is null");
  }

  /** An effect at the server. */
  interface Effect<T> {
    T run() throws InterruptedException;
  }

  /** The way to a server. */
  interface Route {
    /** Returns whether the address refuses connections. */
    boolean isRefused();

    /** Returns whether nothing comes through. */
    boolean isCut();

    /** Returns whether the server sends no answer for now. */
    boolean isSilent();

    /** Returns the one-way delay, in milliseconds. */
    long delayMs();

    /** Runs the request at the server, now or later or never. */
    void submit(Runnable request);
  }

  /**
   * The answers that stand in for a missing one.
   *
   * @param refused the answer if the connection is refused
   * @param lost the answer if none comes in time
   */
  record Missing<T>(T refused, T lost) {}

  <T> T call(Call call, Route route, long timeoutMs, Effect<T> effect, Missing<T> missing) {
    try {
      return carry(call, route, timeoutMs, effect, missing);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return missing.lost();
    }
  }

  private <T> T carry(Call call, Route route, long timeoutMs, Effect<T> effect, Missing<T> missing)
      throws InterruptedException {
    final long untilMs = clock.monotonicMs() + timeoutMs;
    Injected before = faults.before(call);
    boolean answers = strike(before, untilMs);
    if (before instanceof Injected.Refuse || (answers && route.isRefused())) {
      return missing.refused();
    }
    if (before instanceof Injected.LoseRequest || route.isCut()) {
      return lost(untilMs, missing);
    }
    sleep(route.delayMs());
    AtomicReference<T> answer = new AtomicReference<>();
    submit(route, effect, answer::set);
    if (before instanceof Injected.Duplicate) {
      submit(route, effect, second -> {});
    }
    Injected after = faults.after(call);
    answers &= strike(after, untilMs);
    if (answer.get() == null) {
      sleepUntil(untilMs);
    }
    boolean arrives = !route.isCut() && !route.isRefused() && !route.isSilent();
    if (!answers || answer.get() == null || !arrives) {
      return lost(untilMs, missing);
    }
    sleep(route.delayMs());
    return clock.monotonicMs() > untilMs ? missing.lost() : answer.get();
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

  /** Returns whether an answer can still come after the fault has struck. */
  private boolean strike(Injected injected, long untilMs) throws InterruptedException {
    return switch (injected) {
      case Injected.Pass pass -> true;
      case Injected.Duplicate duplicate -> true;
      case Injected.Refuse refuse -> false;
      case Injected.LoseRequest lose -> false;
      case Injected.LoseReply lose -> false;
      case Injected.Run(Runnable body) -> {
        body.run();
        yield true;
      }
      case Injected.Delay(long delayMs) -> {
        boolean inTime = clock.monotonicMs() + delayMs < untilMs;
        sleep(delayMs);
        yield inTime;
      }
    };
  }

  private <T> T lost(long untilMs, Missing<T> missing) throws InterruptedException {
    sleepUntil(untilMs);
    return missing.lost();
  }

  private void sleepUntil(long untilMs) throws InterruptedException {
    sleep(untilMs - clock.monotonicMs());
  }

  private void sleep(long durationMs) throws InterruptedException {
    if (durationMs > 0) {
      clock.sleepMs(durationMs);
    }
  }
}
