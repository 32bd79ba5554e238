package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.burn.Objective;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.result.ResultCode;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Locale;
import java.util.Objects;

/** Counts and times callers' requests. */
public final class CallerMetrics {
  private static final String REQUESTS = "lycheejunction.requests";
  private static final String READS = "lycheejunction.reads";
  private static final String IN_FLIGHT = "lycheejunction.requests.in.flight";
  private static final String UNSETTLED = "lycheejunction.keys.unsettled";

  private final MeterRegistry registry;

  /**
   * Creates the metrics.
   *
   * @param registry the registry of the meters
   */
  public CallerMetrics(MeterRegistry registry) {
    this.registry = Objects.requireNonNull(registry, "registry is null");
  }

  /**
   * Registers gauges of the requests in flight and of the queued keys with an unknown outcome.
   *
   * @param limiter counts the requests in flight
   * @param settler the queue of keys
   */
  void registerGauges(InFlightLimiter limiter, Settler settler) {
    Gauge.builder(IN_FLIGHT, limiter, InFlightLimiter::size).register(registry);
    Gauge.builder(UNSETTLED, settler, Settler::size).register(registry);
  }

  /**
   * Records the answer to a request.
   *
   * @param service the service, {@code -} if the caller named none that exists
   * @param kind the kind of request
   * @param code the result code
   * @param durationMs the time from the request's arrival to its answer, in milliseconds
   */
  void record(String service, RequestKind kind, ResultCode code, long durationMs) {
    Timer.builder(REQUESTS)
        .tag("service", service)
        .tag("access", kind.name().toLowerCase(Locale.ROOT))
        .tag("code", String.valueOf(code.number()))
        .publishPercentileHistogram()
        .serviceLevelObjectives(Duration.ofMillis(Objective.LATENCY_MS))
        .register(registry)
        .record(Duration.ofMillis(durationMs));
  }

  /**
   * Counts a successful read.
   *
   * @param service the service
   * @param role the role of the target that answered
   */
  void recordRead(String service, Role role) {
    registry
        .counter(READS, "service", service, "role", role.name().toLowerCase(Locale.ROOT))
        .increment();
  }
}
