package io.lycheejunction.core.port;

import io.lycheejunction.core.term.LogPosition;
import java.util.Objects;

/**
 * The status that an instance reports.
 *
 * @param target the name of the instance
 * @param term the highest term that the instance has accepted, by fencing, promotion or a log
 *     entry; it refuses log entries and writes of lower terms
 * @param role the role of the instance in that term
 * @param received the position of the last log entry that the instance has received
 * @param applied the position of the last log entry that is visible to reads on the instance
 * @param leaving true if the instance announces that it is leaving
 */
public record TargetStatus(
    String target,
    long term,
    Role role,
    LogPosition received,
    LogPosition applied,
    boolean leaving) {
  /** Rejects null components. */
  public TargetStatus {
    Objects.requireNonNull(target, "target is null");
    Objects.requireNonNull(role, "role is null");
    Objects.requireNonNull(received, "received is null");
    Objects.requireNonNull(applied, "applied is null");
  }
}
