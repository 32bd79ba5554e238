package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.result.Fault;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/** The metrics of the targets that this proxy holds. */
final class HolderMetrics {
  private final MeterRegistry registry;
  private final Timer queueWait;
  private final Counter connectionsOpened;
  private final Counter acknowledgedWrites;

  HolderMetrics(MeterRegistry registry) {
    this.registry = Objects.requireNonNull(registry, "registry is null");
    this.queueWait = registry.timer("lycheejunction.holder.queue.wait");
    this.connectionsOpened = registry.counter("lycheejunction.holder.connections.opened");
    this.acknowledgedWrites = registry.counter("lycheejunction.holder.writes.acknowledged");
  }

  void recordQueueWait(long waitedMs) {
    queueWait.record(waitedMs, TimeUnit.MILLISECONDS);
  }

  void connectionOpened() {
    connectionsOpened.increment();
  }

  void writeAcknowledged() {
    acknowledgedWrites.increment();
  }

  void readServed(Role role) {
    String name = role.name().toLowerCase(Locale.ROOT);
    registry.counter("lycheejunction.holder.reads", "role", name).increment();
  }

  void requestRefused(Fault fault) {
    registry.counter("lycheejunction.holder.refused", "code", fault.code().name()).increment();
  }

  /** Registers the number of connections in use, summed over the held targets. */
  void registerInUseGauge(IntSupplier connections) {
    Gauge.builder("lycheejunction.holder.connections.used", connections::getAsInt)
        .strongReference(true)
        .register(registry);
  }
}
