package io.lycheejunction.proxy.membership;

import io.lycheejunction.core.membership.Heartbeat;
import io.lycheejunction.proxy.configuration.LogRow;
import java.util.List;
import java.util.Objects;

/**
 * A heartbeat with rows of the configuration log that its recipient may lack.
 *
 * @param heartbeat the heartbeat
 * @param answered true if any source of the configuration has answered the sender
 * @param rows the rows, in the order of their versions
 */
record HeartbeatMessage(Heartbeat heartbeat, boolean answered, List<LogRow> rows) {
  /** Rejects null components and copies the rows. */
  HeartbeatMessage {
    Objects.requireNonNull(heartbeat, "heartbeat is null");
    rows = List.copyOf(rows);
  }
}
