package io.lycheejunction.proxy.holder;

import io.github.resilience4j.circuitbreaker.CircuitBreaker;
import io.github.resilience4j.circuitbreaker.CircuitBreakerConfig;
import io.lycheejunction.core.clock.RuntimeClock;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;

/** Stops calls to a target that keeps giving no answer, and lets a few try it again later. */
final class TargetBreaker {
  private static final int WINDOW_CALLS = 20;
  private static final int MINIMUM_CALLS = 10;
  private static final int TRIAL_CALLS = 2;
  private static final float FAILED_PERCENT = 50;
  private static final long OPEN_MS = 500;

  private final CircuitBreaker breaker;

  TargetBreaker(String target, RuntimeClock clock) {
    this.breaker = CircuitBreaker.of(target, config(clock));
  }

  private static CircuitBreakerConfig config(RuntimeClock clock) {
    InstantSource source = () -> Instant.ofEpochMilli(clock.monotonicMs());
    Clock monotonic = source.withZone(ZoneOffset.UTC);
    return CircuitBreakerConfig.custom()
        .slidingWindowType(CircuitBreakerConfig.SlidingWindowType.COUNT_BASED)
        .slidingWindowSize(WINDOW_CALLS)
        .minimumNumberOfCalls(MINIMUM_CALLS)
        .permittedNumberOfCallsInHalfOpenState(TRIAL_CALLS)
        .failureRateThreshold(FAILED_PERCENT)
        .waitDurationInOpenState(Duration.ofMillis(OPEN_MS))
        .clock(monotonic)
        .currentTimestampFunction(Clock::millis, TimeUnit.MILLISECONDS)
        .build();
  }

  /** Returns whether a call may go to the target; its outcome must then be recorded. */
  boolean permit() {
    return breaker.tryAcquirePermission();
  }

  void answered() {
    breaker.onSuccess(0, TimeUnit.MILLISECONDS);
  }

  void silent() {
    breaker.onError(0, TimeUnit.MILLISECONDS, new IllegalStateException("no answer"));
  }

  /** Records that a permitted call was not made. */
  void unused() {
    breaker.releasePermission();
  }

  boolean isOpen() {
    return breaker.getState() == CircuitBreaker.State.OPEN;
  }

  long retryAfterMs() {
    return OPEN_MS;
  }
}
