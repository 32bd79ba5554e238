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

/** The rows applied so far; each version is applied once, in order, and never a lower one. */
public final class AppliedLog implements ConfigurationSource {
  private static final EventLog LOG = EventLog.of(AppliedLog.class);

  private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
  private final InOrder<LogState> state =
      new InOrder<>(LogState.empty(), LogState::version, this::publish);

  /** What became of an offered row. */
  public enum Offer {
    /** The row is applied now. */
    APPLIED,
    /** The row's version had been applied before. */
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
   * Returns the row that holds back the log.
   *
   * @return the row, or empty if the log is not held back
   */
  public Optional<Poison> poison() {
    return state.current().poison();
  }

  /**
   * Returns what became of a row, which is applied if it is the next one.
   *
   * @param row a row that the platform's table has
   * @return what became of it
   */
  public Offer offer(LogRow row) {
    return state
        .advance(row.version(), before -> next(before, row))
        .fold(fault -> hold(new Poison(row.version(), fault.detail())), offer -> offer);
  }

  private static Result<LogState> next(LogState before, LogRow row) {
    return RowCodec.decode(row)
        .flatMap(
            read ->
                ConfigurationRules.apply(before.configuration(), read.change())
                    .map(after -> before.next(row, read, after)));
  }

  /**
   * Stops the log at a row that cannot be applied, until a later offer of that row succeeds.
   *
   * @param found the row
   * @return {@code POISONED}
   */
  Offer hold(Poison found) {
    if (!poison().equals(Optional.of(found))) {
      LOG.warn(
          "configuration_row_poisoned",
          "version",
          found.version(),
          "in_force",
          current().version(),
          "reason",
          found.reason());
    }
    state.update(now -> now.heldBy(found));
    return Offer.POISONED;
  }

  /**
   * Returns whether a snapshot was taken over, which it is if its version is higher.
   *
   * @param snapshot the snapshot
   * @return false if its version is not higher than the one in force
   */
  public boolean install(Snapshot snapshot) {
    return state.replace(LogState.of(snapshot));
  }

  /**
   * Returns the configuration in force with the identifiers of the latest changes.
   *
   * @return the snapshot
   */
  public Snapshot snapshot() {
    LogState now = state.current();
    return new Snapshot(Snapshot.SCHEMA, now.configuration(), now.ids());
  }

  /**
   * Returns the applied rows after a version, as far as they are kept.
   *
   * @param version the version
   * @param maxChars the most characters that the rows may have together, except for the first
   * @return the rows in order; empty if the next row is not kept or not applied
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
   * @return the changes whose rows are kept, oldest first
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
   * Returns the version that a change led to.
   *
   * @param id the change's identifier
   * @return the version, or empty if none of the latest changes has the identifier
   */
  public Optional<Long> versionOf(String id) {
    return state.current().ids().stream()
        .filter(c -> c.id().equals(id))
        .map(ChangeId::version)
        .findFirst();
  }
}
