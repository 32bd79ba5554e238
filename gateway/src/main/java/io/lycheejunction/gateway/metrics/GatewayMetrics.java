package io.lycheejunction.gateway.metrics;

import io.lycheejunction.core.result.ResultCode;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Counts statements by their result and measures how long they took.
 *
 * <p>A registry takes long to start, so it is connected only after the gateway serves. What comes
 * before is kept, up to a limit, and counted then.
 */
public final class GatewayMetrics {
  /** The values that are kept before a registry is connected; later ones are lost. */
  static final int MAX_PENDING = 10_000;

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

  private final List<Runnable> pending = new ArrayList<>();
  private Optional<MeterRegistry> registry = Optional.empty();
  private final Map<StatementKey, Counter> statements = new HashMap<>();
  private final Map<String, Timer> latencies = new HashMap<>();

  /** Creates metrics without values and without a registry. */
  public GatewayMetrics() {}

  /**
   * Keeps all values in a registry from now on, with those that came before.
   *
   * @param connected the registry
   */
  public void connect(MeterRegistry connected) {
    registry = Optional.of(connected);
    pending.forEach(Runnable::run);
    pending.clear();
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
    if (registry.isEmpty()) {
      keep(() -> statement(service, writes, code, tookMs));
      return;
    }
    statements
        .computeIfAbsent(new StatementKey(service, writes, code), this::newCounter)
        .increment();
    latencies.computeIfAbsent(service, this::newTimer).record(tookMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Shows a value as it is when it is asked for.
   *
   * @param name the name of the value
   * @param value gives it
   */
  public void gauge(String name, Supplier<Number> value) {
    if (registry.isEmpty()) {
      keep(() -> gauge(name, value));
      return;
    }
    Gauge.builder(name, value).register(registry.get());
  }

  private void keep(Runnable later) {
    if (pending.size() < MAX_PENDING) {
      pending.add(later);
    }
  }

  private Counter newCounter(StatementKey key) {
    return Counter.builder("gateway_statements")
        .tag("service", key.service())
        .tag("writes", Boolean.toString(key.writes()))
        .tag("code", key.code().name())
        .register(registry.orElseThrow());
  }

  private Timer newTimer(String service) {
    return Timer.builder("gateway_statement_latency")
        .tag("service", service)
        .serviceLevelObjectives(BUCKETS)
        .register(registry.orElseThrow());
  }
}
