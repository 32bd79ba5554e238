package io.lycheejunction.gateway.metrics;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.gateway.pool.OpenReason;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;

/**
 * Counts the connections that are opened to targets, and logs a line about those opened since the
 * line before.
 */
public final class ConnectionLog {
  private static final EventLog LOG = EventLog.of(ConnectionLog.class);

  private final GatewayMetrics metrics;
  private final Map<OpenReason, Integer> opened = new EnumMap<>(OpenReason.class);

  /**
   * Creates a log without connections.
   *
   * @param metrics counts the connections by reason
   */
  public ConnectionLog(GatewayMetrics metrics) {
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
  }

  /**
   * Records that a connection is being opened.
   *
   * @param reason the reason
   */
  public void record(OpenReason reason) {
    metrics.recordConnection(reason);
    opened.merge(reason, 1, Integer::sum);
  }

  /**
   * Logs how many connections were opened since the last call, if any were.
   *
   * @param connections the number of connections now
   * @param organisations the number of organisations that have connections now
   */
  public void write(int connections, int organisations) {
    if (opened.isEmpty()) {
      return;
    }
    LOG.info(
        "connections_opened",
        "first",
        opened.getOrDefault(OpenReason.FIRST, 0),
        "additional",
        opened.getOrDefault(OpenReason.ADDITIONAL, 0),
        "evicted_other",
        opened.getOrDefault(OpenReason.EVICTED_OTHER, 0),
        "connections",
        connections,
        "organisations",
        organisations);
    opened.clear();
  }
}
