package io.lycheejunction.proxy.configuration;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.configuration.ChangeRow;
import io.lycheejunction.core.configuration.Configuration;
import io.lycheejunction.core.configuration.ConfigurationRules;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.language.Printer;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** The rows applied so far; each version is applied once, in order, and never a lower one. */
public final class AppliedLog implements ConfigurationSource {
  private static final EventLog LOG = EventLog.of(AppliedLog.class);
  private static final int KEPT_ROWS = 256;
  private static final int KEPT_IDS = 256;

  private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
  private final Deque<LogRow> rows = new ArrayDeque<>();
  private final Deque<ChangeId> ids = new ArrayDeque<>();
  private volatile Configuration current = Configuration.empty();
  private volatile Optional<Poison> poison = Optional.empty();

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
    return current;
  }

  @Override
  public void onChange(Consumer<Configuration> listener) {
    listeners.add(Objects.requireNonNull(listener, "listener is null"));
  }

  /**
   * Returns the row that holds back the log.
   *
   * @return the row, or empty if the log is not held back
   */
  public Optional<Poison> poison() {
    return poison;
  }

  /**
   * Returns what became of a row, which is applied if it is the next one.
   *
   * @param row a row that the platform's table has
   * @return what became of it
   */
  public synchronized Offer offer(LogRow row) {
    long next = current.version() + 1;
    if (row.version() < next) {
      return Offer.OLD;
    }
    if (row.version() > next) {
      return Offer.GAP;
    }
    return RowCodec.decode(row).fold(fault -> hold(row, fault), read -> apply(row, read));
  }

  private Offer apply(LogRow row, ChangeRow read) {
    Result<Configuration> applied = ConfigurationRules.apply(current, read.change());
    return applied.fold(
        fault -> hold(row, fault),
        next -> {
          keep(row, new ChangeId(read.id(), read.version()));
          publish(next);
          return Offer.APPLIED;
        });
  }

  private Offer hold(LogRow row, Fault fault) {
    hold(new Poison(row.version(), fault.detail()));
    return Offer.POISONED;
  }

  /**
   * Stops the log at a row that cannot be applied, until a later offer of that row succeeds.
   *
   * @param found the row
   */
  synchronized void hold(Poison found) {
    if (found.version() <= current.version() || poison.equals(Optional.of(found))) {
      return;
    }
    poison = Optional.of(found);
    LOG.warn(
        "configuration_row_poisoned",
        "version",
        found.version(),
        "in_force",
        current.version(),
        "reason",
        found.reason());
  }

  private void keep(LogRow row, ChangeId id) {
    rows.addLast(row);
    if (rows.size() > KEPT_ROWS) {
      rows.removeFirst();
    }
    ids.addLast(id);
    if (ids.size() > KEPT_IDS) {
      ids.removeFirst();
    }
  }

  private void publish(Configuration next) {
    current = next;
    poison = Optional.empty();
    LOG.info("configuration_applied", "version", next.version());
    listeners.forEach(listener -> listener.accept(next));
  }

  /**
   * Returns whether a snapshot was taken over, which it is if its version is higher.
   *
   * @param snapshot the snapshot
   * @return false if its version is not higher than the one in force
   */
  public synchronized boolean install(Snapshot snapshot) {
    if (snapshot.configuration().version() <= current.version()) {
      return false;
    }
    rows.clear();
    ids.clear();
    ids.addAll(snapshot.latest());
    publish(snapshot.configuration());
    return true;
  }

  /**
   * Returns the configuration in force with the identifiers of the latest changes.
   *
   * @return the snapshot
   */
  public synchronized Snapshot snapshot() {
    return new Snapshot(Snapshot.SCHEMA, current, List.copyOf(ids));
  }

  /**
   * Returns the applied rows after a version, as far as they are kept.
   *
   * @param version the version
   * @param maxChars the most characters that the rows may have together, except for the first
   * @return the rows in order; empty if the next row is not kept or not applied
   */
  public synchronized List<LogRow> rowsAfter(long version, int maxChars) {
    List<LogRow> found = new ArrayList<>();
    int chars = 0;
    for (LogRow row : rows) {
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
  public synchronized List<AcceptedChange> changes() {
    List<AcceptedChange> found = new ArrayList<>();
    for (LogRow row : rows) {
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
  public synchronized Optional<Long> versionOf(String id) {
    return ids.stream().filter(c -> c.id().equals(id)).map(ChangeId::version).findFirst();
  }
}
