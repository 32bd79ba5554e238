package io.lycheejunction.gateway.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.pool.OpenReason;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.junit.jupiter.api.Test;

class GatewayMetricsTest {
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();

  private void recordStatements(int statements) {
    for (int i = 0; i < statements; i++) {
      metrics.recordStatement("ledger", false, ResultCode.DONE, 7);
    }
  }

  private double doneCount() {
    return registry.get("gateway_statements").tag("code", "DONE").counter().count();
  }

  @Test
  void shouldCountBufferedStatementsWhenRegistryIsConnected() {
    recordStatements(3);

    metrics.connect(registry);
    recordStatements(2);

    assertEquals(5, doneCount());
    assertEquals(5, registry.get("gateway_statement_latency").timer().count());
  }

  @Test
  void shouldLimitBufferedStatementsWhenNoRegistryIsConnected() {
    recordStatements(GatewayMetrics.MAX_PENDING + 10);

    metrics.connect(registry);

    assertEquals(GatewayMetrics.MAX_PENDING, doneCount());
  }

  /** Failure: a metric with a label for each organisation, whose number is not bounded. */
  @Test
  void shouldCountConnectionsByReasonOnlyWhenTheyAreOpened() {
    ConnectionLog log = new ConnectionLog(metrics);
    log.record(OpenReason.FIRST);
    metrics.connect(registry);
    log.record(OpenReason.FIRST);
    log.record(OpenReason.EVICTED_OTHER);

    assertEquals(
        2,
        registry.get("gateway_target_connections_opened").tag("reason", "FIRST").counter().count());
    assertEquals(2, registry.find("gateway_target_connections_opened").counters().size());
  }
}
