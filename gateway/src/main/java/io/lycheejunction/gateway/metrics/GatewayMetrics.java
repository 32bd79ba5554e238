package io.lycheejunction.gateway.metrics;

import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.pool.OpenReason;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
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
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/**
 * Counts statements by result and records their latency.
 *
 * <p>A meter registry is slow to start, so it is connected only after the gateway has begun to
 * serve. Values recorded before that are buffered, up to a limit, and added once it is connected.
 */
public final class GatewayMetrics {
  /** The maximum number of values buffered until a registry is connected; more are dropped. */
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

  /** The suppliers of counters, which a registry refers to only weakly. */
  private final List<DoubleSupplier> counted = new ArrayList<>();

  /** Creates metrics without values and without a registry. */
  public GatewayMetrics() {}

  /**
   * Connects a registry and adds the buffered values to it.
   *
   * @param connected the registry for all values from now on
   */
  public void connect(MeterRegistry connected) {
    registry = Optional.of(connected);
    pending.forEach(Runnable::run);
    pending.clear();
  }

  /**
   * Records a completed statement.
   *
   * @param service the service
   * @param writes whether it was a write
   * @param code the result code
   * @param tookMs the latency, in milliseconds
   */
  public void recordStatement(String service, boolean writes, ResultCode code, long tookMs) {
    if (registry.isEmpty()) {
      buffer(() -> recordStatement(service, writes, code, tookMs));
      return;
    }
    statements
        .computeIfAbsent(new StatementKey(service, writes, code), this::newCounter)
        .increment();
    latencies.computeIfAbsent(service, this::newTimer).record(tookMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Records that a connection to a target is being opened.
   *
   * @param reason why it is opened
   */
  public void recordConnection(OpenReason reason) {
    if (registry.isEmpty()) {
      buffer(() -> recordConnection(reason));
      return;
    }
    Counter.builder("gateway_target_connections_opened")
        .tag("reason", reason.name())
        .register(registry.get())
        .increment();
  }

  /**
   * Registers a gauge.
   *
   * @param name the name of the gauge
   * @param value supplies the current value each time the gauge is read
   */
  public void gauge(String name, Supplier<Number> value) {
    if (registry.isEmpty()) {
      buffer(() -> gauge(name, value));
      return;
    }
    Gauge.builder(name, value).register(registry.get());
  }

  /**
   * Registers a counter whose value is kept elsewhere.
   *
   * @param name the name of the counter
   * @param value supplies the current value, which never falls, each time the counter is read
   */
  public void count(String name, DoubleSupplier value) {
    if (registry.isEmpty()) {
      buffer(() -> count(name, value));
      return;
    }
    counted.add(value);
    FunctionCounter.builder(name, value, DoubleSupplier::getAsDouble).register(registry.get());
  }

  private void buffer(Runnable action) {
    if (pending.size() < MAX_PENDING) {
      pending.add(action);
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
