package io.lycheejunction.gateway.metrics;

import io.lycheejunction.core.result.ResultCode;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Counts statements by their result and measures how long they took. */
public final class GatewayMetrics {
  private static final Duration[] BUCKETS = {
    Duration.ofMillis(10),
    Duration.ofMillis(25),
    Duration.ofMillis(50),
    Duration.ofMillis(100),
    Duration.ofMillis(200),
    Duration.ofMillis(400),
    Duration.ofMillis(1_000),
    Duration.ofMillis(4_000)
  };

  private record StatementKey(String service, boolean writes, ResultCode code) {}

  private final MeterRegistry registry;
  private final Map<StatementKey, Counter> statements = new HashMap<>();
  private final Map<String, Timer> latencies = new HashMap<>();
  private final Map<String, Counter> events = new HashMap<>();

  /**
   * Creates metrics without values.
   *
   * @param registry where they are kept
   */
  public GatewayMetrics(MeterRegistry registry) {
    this.registry = Objects.requireNonNull(registry, "registry is null");
  }

  /**
   * Counts a statement that has ended.
   *
   * @param service the service
   * @param writes whether it wrote
   * @param code its result
   * @param tookMs how long it took, in milliseconds
   */
  public void statement(String service, boolean writes, ResultCode code, long tookMs) {
    statements
        .computeIfAbsent(new StatementKey(service, writes, code), this::newCounter)
        .increment();
    latencies.computeIfAbsent(service, this::newTimer).record(tookMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Counts an event.
   *
   * @param name the name of the event, in snake case
   */
  public void event(String name) {
    events
        .computeIfAbsent(
            name, key -> Counter.builder("gateway_events").tag("event", key).register(registry))
        .increment();
  }

  /**
   * Shows a value as it is when it is asked for.
   *
   * @param name the name of the value
   * @param value gives it
   */
  public void gauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).register(registry);
  }

  private Counter newCounter(StatementKey key) {
    return Counter.builder("gateway_statements")
        .tag("service", key.service())
        .tag("writes", Boolean.toString(key.writes()))
        .tag("code", key.code().name())
        .register(registry);
  }

  private Timer newTimer(String service) {
    return Timer.builder("gateway_statement_latency")
        .tag("service", service)
        .serviceLevelObjectives(BUCKETS)
        .register(registry);
  }
}
