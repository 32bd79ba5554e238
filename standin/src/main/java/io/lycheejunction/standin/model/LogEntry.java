package io.lycheejunction.standin.model;

import io.lycheejunction.core.term.LogPosition;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * One entry of a group's replicated log.
 *
 * @param position the term of the primary that wrote the entry, and its offset in the log
 * @param statements the write statements in order; empty for a promotion or a cancelled key
 * @param key the idempotency key recorded with the entry, if any
 * @param rows the result rows, returned again when the key is repeated
 * @param cancels true if the entry cancels its key, so that no statement can run under it later
 */
public record LogEntry(
    LogPosition position,
    List<String> statements,
    Optional<String> key,
    List<String> rows,
    boolean cancels) {
  /** Rejects null components and copies the lists. */
  public LogEntry {
    Objects.requireNonNull(position, "position is null");
    Objects.requireNonNull(key, "key is null");
    statements = List.copyOf(statements);
    rows = List.copyOf(rows);
  }
}
