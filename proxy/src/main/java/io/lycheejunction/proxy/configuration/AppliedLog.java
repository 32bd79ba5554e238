package io.lycheejunction.proxy.configuration;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.configuration.Configuration;
import io.lycheejunction.core.configuration.ConfigurationRules;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.language.Printer;
import io.lycheejunction.core.result.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * The applied part of the configuration log: each row is applied once, in order of versions, and
 * the version in force never decreases.
 */
public final class AppliedLog implements ConfigurationSource {
  private static final EventLog LOG = EventLog.of(AppliedLog.class);

  private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
  private final VersionedState<LogState> state =
      new VersionedState<>(LogState.empty(), LogState::version, this::publish);

  /** The result of offering a row. */
  public enum OfferResult {
    /** The row is applied now. */
    APPLIED,
    /** The version in force is that of the row or higher. */
    OLD,
    /** A row before this one is missing. */
    GAP,
    /** The row cannot be applied. */
    POISONED
  }

  @Override
  public Configuration current() {
    return state.current().configuration();
  }

  @Override
  public void onChange(Consumer<Configuration> listener) {
    listeners.add(Objects.requireNonNull(listener, "listener is null"));
  }

  private void publish(LogState next) {
    LOG.info("configuration_applied", "version", next.version());
    listeners.forEach(listener -> listener.accept(next.configuration()));
  }

  /**
   * Returns the row that blocks the log.
   *
   * @return the row, or empty if the log is not blocked
   */
  public Optional<PoisonedRow> poisonedRow() {
    return state.current().poisonedRow();
  }

  /**
   * Applies a row if it is the next one and valid.
   *
   * @param row a row of the log, from the platform's table or from a peer
   * @return the result; {@code POISONED} if the row is the next one but cannot be applied
   */
  public OfferResult offer(LogRow row) {
    return state
        .advance(row.version(), before -> next(before, row))
        .fold(fault -> blockAt(new PoisonedRow(row.version(), fault.detail())), offer -> offer);
  }

  private static Result<LogState> next(LogState before, LogRow row) {
    return RowCodec.decode(row)
        .flatMap(
            read ->
                ConfigurationRules.apply(before.configuration(), read.change())
                    .map(after -> before.next(row, read, after)));
  }

  /**
   * Blocks the log at a row that cannot be applied, until a row of that version is applied.
   *
   * @param found the row
   * @return {@code POISONED}
   */
  OfferResult blockAt(PoisonedRow found) {
    if (!poisonedRow().equals(Optional.of(found))) {
      LOG.warn(
          "configuration_row_poisoned",
          "version",
          found.version(),
          "in_force",
          current().version(),
          "reason",
          found.reason());
    }
    state.update(now -> now.blockedBy(found));
    return OfferResult.POISONED;
  }

  /**
   * Replaces the configuration by that of a snapshot if the snapshot's version is higher.
   *
   * @param snapshot the snapshot
   * @return false if the snapshot's version is not higher than the one in force
   */
  public boolean install(Snapshot snapshot) {
    return state.replace(LogState.of(snapshot));
  }

  /**
   * Returns a snapshot of the configuration in force with the identifiers of the latest changes.
   *
   * @return the snapshot
   */
  public Snapshot snapshot() {
    LogState now = state.current();
    return new Snapshot(Snapshot.SCHEMA, now.configuration(), now.ids());
  }

  /**
   * Returns the applied rows that follow a version, as far as they are retained.
   *
   * @param version the version
   * @param maxChars the limit on the total length of the rows, in characters; the first row is
   *     returned even if it is longer
   * @return the rows in order; empty if the next row is not retained or not applied
   */
  public List<LogRow> rowsAfter(long version, int maxChars) {
    List<LogRow> found = new ArrayList<>();
    int chars = 0;
    for (LogRow row : state.current().rows()) {
      if (row.version() <= version) {
        continue;
      }
      chars += row.text().length();
      boolean isNext = row.version() == version + found.size() + 1;
      if (!isNext || (!found.isEmpty() && chars > maxChars)) {
        break;
      }
      found.add(row);
    }
    return found;
  }

  /**
   * Returns the latest changes.
   *
   * @return the changes whose rows are retained, oldest first
   */
  public List<AcceptedChange> changes() {
    List<AcceptedChange> found = new ArrayList<>();
    for (LogRow row : state.current().rows()) {
      RowCodec.decode(row)
          .map(
              read ->
                  found.add(
                      new AcceptedChange(
                          read.version(),
                          read.id(),
                          read.acceptedAtMs(),
                          Printer.print(read.change()))));
    }
    return found;
  }

  /**
   * Returns the version that a change produced.
   *
   * @param id the change's identifier
   * @return the version, or empty if none of the latest changes has the identifier
   */
  public Optional<Long> versionOf(String id) {
    return state.current().ids().stream()
        .filter(change -> change.id().equals(id))
        .map(ChangeId::version)
        .findFirst();
  }
}
