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

/** A circuit breaker that stops calls to a target after too many of them got no answer. */
final class TargetCircuitBreaker {
  private static final int WINDOW_CALLS = 20;
  private static final int MINIMUM_CALLS = 10;
  private static final int TRIAL_CALLS = 2;
  private static final float FAILURE_RATE_THRESHOLD_PERCENT = 50;
  private static final long OPEN_MS = 500;

  private final CircuitBreaker breaker;

  TargetCircuitBreaker(String target, RuntimeClock clock) {
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
        .failureRateThreshold(FAILURE_RATE_THRESHOLD_PERCENT)
        .waitDurationInOpenState(Duration.ofMillis(OPEN_MS))
        .clock(monotonic)
        .currentTimestampFunction(Clock::millis, TimeUnit.MILLISECONDS)
        .build();
  }

  /**
   * Returns whether a call to the target is permitted.
   *
   * <p>A permitted call must be followed by exactly one call of {@link #recordSuccess}, {@link
   * #recordFailure} or {@link #releasePermission}.
   */
  boolean tryAcquirePermission() {
    return breaker.tryAcquirePermission();
  }

  void recordSuccess() {
    breaker.onSuccess(0, TimeUnit.MILLISECONDS);
  }

  void recordFailure() {
    breaker.onError(0, TimeUnit.MILLISECONDS, new IllegalStateException("no answer"));
  }

  /** Records that a permitted call was not made, or that its outcome says nothing of the target. */
  void releasePermission() {
    breaker.releasePermission();
  }

  boolean isOpen() {
    return breaker.getState() == CircuitBreaker.State.OPEN;
  }

  long retryAfterMs() {
    return OPEN_MS;
  }
}
