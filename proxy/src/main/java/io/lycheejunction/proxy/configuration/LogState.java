package io.lycheejunction.proxy.configuration;

import io.lycheejunction.core.configuration.ChangeRow;
import io.lycheejunction.core.configuration.Configuration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The applied part of the configuration log; immutable.
 *
 * @param configuration the configuration in force
 * @param rows the latest rows, oldest first
 * @param ids the identifiers of the latest changes, oldest first
 * @param poison the row that holds back the log, if there is one
 */
record LogState(
    Configuration configuration, List<LogRow> rows, List<ChangeId> ids, Optional<Poison> poison) {
  private static final int KEPT_ROWS = 256;
  private static final int KEPT_IDS = 256;

  /** Rejects null components and copies the lists. */
  LogState {
    Objects.requireNonNull(configuration, "configuration is null");
    rows = List.copyOf(rows);
    ids = List.copyOf(ids);
    Objects.requireNonNull(poison, "poison is null");
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
        append(rows, row, KEPT_ROWS),
        append(ids, new ChangeId(read.id(), read.version()), KEPT_IDS),
        Optional.empty());
  }

  private static <T> List<T> append(List<T> old, T last, int kept) {
    List<T> all = new ArrayList<>(old.subList(Math.max(0, old.size() - kept + 1), old.size()));
    all.add(last);
    return all;
  }

  LogState heldBy(Poison found) {
    return found.version() == version() + 1
        ? new LogState(configuration, rows, ids, Optional.of(found))
        : this;
  }
}
