package io.lycheejunction.gateway.link;

import io.lycheejunction.core.term.LogPosition;
import java.util.Objects;

/**
 * The status that a target reports.
 *
 * @param primary true if the target is the primary
 * @param term the newest term that the target knows
 * @param received the last log position that the target has received
 * @param connections the number of connections open at the target, from all VMs
 */
public record StatusReport(boolean primary, long term, LogPosition received, int connections) {
  /** Rejects null components. */
  public StatusReport {
    Objects.requireNonNull(received, "received is null");
  }
}
