package io.lycheejunction.proxy.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.lycheejunction.proxy.configuration.LogRow;
import io.lycheejunction.standin.model.FaultInjector;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.junit.jupiter.api.Test;

class ControlMetricsTest {
  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();

  private double gauge(String name) {
    return registry.get("lycheejunction." + name).gauge().value();
  }

  @Test
  void shouldChangeGaugesWhenRowIsPoisonedAndStoreIsDown() {
    Fleet fleet = Fleet.of(FaultInjector.NONE);
    ControlPlane control = fleet.node("vm-a").control();
    control.registerMetrics(registry);
    assertEquals(0, gauge("configuration.poisoned"));
    assertEquals(1, gauge("configuration.store.up"));
    assertEquals(3, gauge("proxies.live"));
    control.appliedLog().offer(new LogRow(1, "{"));
    fleet.platform.setDown(true);
    control.configurationLog().poll();
    assertEquals(1, gauge("configuration.poisoned"));
    assertEquals(0, gauge("configuration.store.up"));
    assertEquals(0, gauge("configuration.version"));
  }
}
