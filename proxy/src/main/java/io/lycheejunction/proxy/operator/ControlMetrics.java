package io.lycheejunction.proxy.operator;

import io.lycheejunction.proxy.configuration.ConfigurationLog;
import io.lycheejunction.proxy.membership.Membership;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;

/** Shows configuration and membership as metrics. */
final class ControlMetrics {
  private ControlMetrics() {}

  /** Adds the gauges. */
  static void bind(MeterRegistry registry, ConfigurationLog log, Membership membership) {
    Gauge.builder("lycheejunction.configuration.version", log, l -> l.applied().current().version())
        .description("version in force")
        .register(registry);
    Gauge.builder(
            "lycheejunction.configuration.poisoned",
            log,
            l -> l.applied().poison().isPresent() ? 1 : 0)
        .description("1 while a row of the log cannot be applied")
        .register(registry);
    Gauge.builder("lycheejunction.configuration.store.up", log, l -> l.isStoreUp() ? 1 : 0)
        .description("1 while the platform's table answers")
        .register(registry);
    Gauge.builder("lycheejunction.proxies.live", membership, m -> m.live().size())
        .description("proxies that are taken to be live")
        .register(registry);
  }
}
