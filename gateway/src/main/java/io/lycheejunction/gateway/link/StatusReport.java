package io.lycheejunction.gateway.link;

import io.lycheejunction.core.term.LogPosition;
import java.util.Objects;

/**
 * What a target says of itself.
 *
 * @param primary true if it leads
 * @param term the newest term that it knows
 * @param received the last log position that it has received
 * @param connections the connections that it holds, of all VMs together
 */
public record StatusReport(boolean primary, long term, LogPosition received, int connections) {
  /** Rejects null components. */
  public StatusReport {
    Objects.requireNonNull(received, "received is null");
  }
}
