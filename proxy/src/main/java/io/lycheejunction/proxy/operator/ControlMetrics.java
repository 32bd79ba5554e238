package io.lycheejunction.proxy.operator;

import io.lycheejunction.proxy.configuration.ConfigurationLog;
import io.lycheejunction.proxy.membership.Membership;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;

/** The gauges of configuration and membership. */
final class ControlMetrics {
  private ControlMetrics() {}

  static void register(MeterRegistry registry, ConfigurationLog log, Membership membership) {
    Gauge.builder(
            "lycheejunction.configuration.version",
            log,
            source -> source.applied().current().version())
        .description("version in force")
        .register(registry);
    Gauge.builder(
            "lycheejunction.configuration.poisoned",
            log,
            source -> source.applied().poisonedRow().isPresent() ? 1 : 0)
        .description("1 while a row of the log cannot be applied")
        .register(registry);
    Gauge.builder(
            "lycheejunction.configuration.store.up", log, source -> source.isStoreUp() ? 1 : 0)
        .description("1 while the platform's table answers")
        .register(registry);
    Gauge.builder("lycheejunction.proxies.live", membership, source -> source.live().size())
        .description("proxies that are taken to be live")
        .register(registry);
  }
}
