package io.lycheejunction.proxy.configuration;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.configuration.ChangeRow;
import io.lycheejunction.core.port.ObjectStore;
import io.lycheejunction.core.port.PlatformTable;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Reads the configuration log from the platform's table and applies its rows. */
public final class ConfigurationLog {
  /** The table that holds the log. */
  public static final String TABLE = "configuration";

  private static final EventLog LOG = EventLog.of(ConfigurationLog.class);
  private static final int SCAN_PAGE_ROWS = 100;
  private static final long MAX_FLEET_READS_PER_SECOND = 200;
  private static final long MIN_POLL_INTERVAL_MS = 250;
  private static final long MS_PER_SECOND = 1_000;

  private final PlatformTable table;
  private final Snapshots snapshots;
  private final AppliedLog applied;
  private volatile boolean answered;
  private volatile boolean snapshotRead;
  private volatile boolean storeUp = true;

  /**
   * Creates a reader of the log.
   *
   * @param table the platform's table service
   * @param objects the platform's object store, for snapshots
   * @param applied applies the rows
   */
  public ConfigurationLog(PlatformTable table, ObjectStore objects, AppliedLog applied) {
    this.table = Objects.requireNonNull(table, "table is null");
    this.snapshots = new Snapshots(objects);
    this.applied = Objects.requireNonNull(applied, "applied is null");
  }

  /**
   * Returns the poll interval that keeps all proxies together within the limit on table reads per
   * second.
   *
   * @param proxies the number of proxies
   * @return the interval in milliseconds
   */
  public static long pollIntervalMs(int proxies) {
    return Math.max(MIN_POLL_INTERVAL_MS, proxies * MS_PER_SECOND / MAX_FLEET_READS_PER_SECOND);
  }

  /** Reads and applies the rows that follow the version in force. */
  public void poll() {
    if (!snapshotRead) {
      readSnapshot();
    }
    boolean more = true;
    while (more) {
      more =
          table
              .scan(TABLE, ChangeRow.key(applied.current().version()), SCAN_PAGE_ROWS)
              .fold(this::storeFailed, this::applyAll);
    }
  }

  private void readSnapshot() {
    Result<Optional<Snapshot>> newest = snapshots.newest();
    snapshotRead = !newest.isEmpty();
    newest.getOrElse(Optional.empty()).ifPresent(applied::install);
  }

  private boolean storeFailed(Fault fault) {
    if (storeUp) {
      LOG.warn("configuration_store_down", "code", fault.code(), "detail", fault.detail());
    }
    storeUp = false;
    return false;
  }

  /** Returns whether there may be more rows. */
  private boolean applyAll(List<PlatformTable.Row> rows) {
    if (!storeUp) {
      LOG.info("configuration_store_up", "version", applied.current().version());
    }
    storeUp = true;
    for (PlatformTable.Row row : rows) {
      if (!applyOne(row)) {
        answered = true;
        return false;
      }
    }
    boolean atEnd = rows.size() < SCAN_PAGE_ROWS;
    answered |= atEnd;
    return !atEnd;
  }

  private boolean applyOne(PlatformTable.Row row) {
    long next = applied.current().version() + 1;
    if (row.key().compareTo(ChangeRow.key(next)) < 0) {
      return true;
    }
    if (!row.key().equals(ChangeRow.key(next))) {
      applied.blockAt(
          new PoisonedRow(next, "the row is missing; the next key in the table is " + row.key()));
      return false;
    }
    return applied.offer(new LogRow(next, row.value())) != AppliedLog.OfferResult.POISONED;
  }

  /**
   * Records that a peer that knows the configuration has no higher version than this proxy, so that
   * this proxy knows the configuration as well.
   */
  public void answeredByPeer() {
    answered = true;
  }

  /**
   * Returns whether the platform or a peer has answered with the configuration since the start.
   *
   * @return true once the platform or a peer has answered
   */
  public boolean isAnswered() {
    return answered;
  }

  /**
   * Returns whether the platform's table answered the last poll.
   *
   * @return false if it did not
   */
  public boolean isStoreUp() {
    return storeUp;
  }

  /**
   * Returns the applied part of the log.
   *
   * @return the applied log
   */
  public AppliedLog applied() {
    return applied;
  }
}
