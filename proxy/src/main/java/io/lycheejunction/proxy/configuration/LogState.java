package io.lycheejunction.proxy.configuration;

import io.lycheejunction.core.configuration.ChangeRow;
import io.lycheejunction.core.configuration.Configuration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * An immutable state of the applied part of the configuration log.
 *
 * @param configuration the configuration in force
 * @param rows the latest applied rows, oldest first
 * @param ids the identifiers of the latest changes, oldest first
 * @param poisonedRow the row that blocks the log, if there is one
 */
record LogState(
    Configuration configuration,
    List<LogRow> rows,
    List<ChangeId> ids,
    Optional<PoisonedRow> poisonedRow) {
  private static final int MAX_RETAINED_ROWS = 256;
  private static final int MAX_RETAINED_IDS = 256;

  /** Rejects null components and copies the lists. */
  LogState {
    Objects.requireNonNull(configuration, "configuration is null");
    rows = List.copyOf(rows);
    ids = List.copyOf(ids);
    Objects.requireNonNull(poisonedRow, "poisonedRow is null");
  }

  static LogState empty() {
    return new LogState(Configuration.empty(), List.of(), List.of(), Optional.empty());
  }

  static LogState of(Snapshot snapshot) {
    return new LogState(snapshot.configuration(), List.of(), snapshot.latest(), Optional.empty());
  }

  long version() {
    return configuration.version();
  }

  LogState next(LogRow row, ChangeRow read, Configuration after) {
    return new LogState(
        after,
        append(rows, row, MAX_RETAINED_ROWS),
        append(ids, new ChangeId(read.id(), read.version()), MAX_RETAINED_IDS),
        Optional.empty());
  }

  private static <T> List<T> append(List<T> old, T last, int maxSize) {
    List<T> all = new ArrayList<>(old.subList(Math.max(0, old.size() - maxSize + 1), old.size()));
    all.add(last);
    return all;
  }

  LogState blockedBy(PoisonedRow found) {
    return found.version() == version() + 1
        ? new LogState(configuration, rows, ids, Optional.of(found))
        : this;
  }
}
