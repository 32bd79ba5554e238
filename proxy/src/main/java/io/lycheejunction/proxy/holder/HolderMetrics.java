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

/** Counts what the holder does. */
final class HolderMetrics {
  private final MeterRegistry registry;
  private final Timer queueWait;
  private final Counter opened;
  private final Counter acknowledgedWrites;

  HolderMetrics(MeterRegistry registry) {
    this.registry = Objects.requireNonNull(registry, "registry is null");
    this.queueWait = registry.timer("lycheejunction.holder.queue.wait");
    this.opened = registry.counter("lycheejunction.holder.connections.opened");
    this.acknowledgedWrites = registry.counter("lycheejunction.holder.writes.acknowledged");
  }

  void waited(long waitedMs) {
    queueWait.record(waitedMs, TimeUnit.MILLISECONDS);
  }

  void connectionOpened() {
    opened.increment();
  }

  void writeAcknowledged() {
    acknowledgedWrites.increment();
  }

  void readServed(Role role) {
    String name = role.name().toLowerCase(Locale.ROOT);
    registry.counter("lycheejunction.holder.reads", "role", name).increment();
  }

  void refused(Fault fault) {
    registry.counter("lycheejunction.holder.refused", "code", fault.code().name()).increment();
  }

  /** Registers the number of connections in use, summed over the held targets. */
  void inUse(IntSupplier connections) {
    Gauge.builder("lycheejunction.holder.connections.used", connections::getAsInt)
        .strongReference(true)
        .register(registry);
  }
}
