package io.lycheejunction.proxy.configuration;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.ChangeRow;
import io.lycheejunction.core.configuration.Configuration;
import io.lycheejunction.core.configuration.ConfigurationRules;
import io.lycheejunction.core.port.ObjectStore;
import io.lycheejunction.core.port.PlatformTable;
import io.lycheejunction.core.port.PlatformTable.PutOutcome;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Writes changes to the configuration log by conditional puts: of concurrent changes, one creates
 * the next row, and the others are checked again against the new version.
 */
public final class ConfigurationWriter {
  private static final EventLog LOG = EventLog.of(ConfigurationWriter.class);
  private static final int MAX_LOST_ROWS = 32;
  private static final int MAX_PUT_ATTEMPTS = 4;
  private static final long RETRY_DELAY_MS = 100;
  private static final int SCAN_PAGE_ROWS = 500;

  private final PlatformTable table;
  private final Snapshots snapshots;
  private final AppliedLog applied;
  private final RuntimeClock clock;

  /**
   * Creates the writer.
   *
   * @param table the platform's table service
   * @param objects the platform's object store, for snapshots
   * @param applied the applied log, which the writer also offers the rows that it reads and writes
   * @param clock the runtime clock
   */
  public ConfigurationWriter(
      PlatformTable table, ObjectStore objects, AppliedLog applied, RuntimeClock clock) {
    this.table = Objects.requireNonNull(table, "table is null");
    this.snapshots = new Snapshots(objects);
    this.applied = Objects.requireNonNull(applied, "applied is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
  }

  /**
   * Returns the configuration in force on this proxy.
   *
   * @return the configuration
   */
  public Configuration current() {
    return applied.current();
  }

  /** The result of writing one row. */
  private sealed interface Attempt {
    record Won() implements Attempt {}

    record Lost(String value) implements Attempt {}

    record Failed(Fault fault) implements Attempt {}
  }

  /**
   * Writes a change and returns its identifier and version; idempotent for the same identifier.
   *
   * @param request the requested change
   * @return the identifier with its version; {@code VERSION_CONFLICT}, {@code INVALID_CHANGE},
   *     {@code POISONED_ROW} or {@code STORE_UNAVAILABLE} if the change is not and will not be in
   *     the log; {@code STORE_UNKNOWN} if it may be in the log
   */
  public Result<ChangeId> submit(ChangeRequest request) {
    for (int lostRows = 0; lostRows < MAX_LOST_ROWS; lostRows++) {
      Configuration before = applied.current();
      Optional<Long> done = applied.versionOf(request.id());
      if (done.isPresent()) {
        return Result.success(new ChangeId(request.id(), done.get()));
      }
      Result<LogRow> row = encodedRow(request, before);
      if (row instanceof Result.Failure<LogRow> refused) {
        Result<Boolean> newer = readTail(before.version());
        if (newer.getOrElse(false)) {
          continue;
        }
        return newer.flatMap(none -> Result.failure(refused.fault()));
      }
      Optional<Result<ChangeId>> answer = write(request.id(), row.getOrElse(null));
      if (answer.isPresent()) {
        return answer.get();
      }
    }
    return Result.failure(
        ResultCode.VERSION_CONFLICT,
        "gave up after " + MAX_LOST_ROWS + " rows were written by other changes first");
  }

  private Result<LogRow> encodedRow(ChangeRequest request, Configuration before) {
    if (request.ifVersion().isPresent() && request.ifVersion().get() != before.version()) {
      return Result.failure(
          ResultCode.VERSION_CONFLICT,
          "the configuration is at version "
              + before.version()
              + ", not "
              + request.ifVersion().get());
    }
    return ConfigurationRules.apply(before, request.change())
        .flatMap(
            after ->
                RowCodec.encode(
                    new ChangeRow(
                        ChangeRow.SCHEMA,
                        request.id(),
                        after.version(),
                        clock.wallMs(),
                        request.change())));
  }

  /**
   * Reads the rows after the version on which a refusal is based, and returns whether the version
   * in force is higher now; a change may be refused on the basis of the latest version only.
   */
  private Result<Boolean> readTail(long before) {
    return table
        .scan(ConfigurationLog.TABLE, ChangeRow.key(before), SCAN_PAGE_ROWS)
        .map(
            rows -> {
              rows.forEach(row -> RowCodec.logRow(row).ifPresent(applied::offer));
              return applied.current().version() > before;
            });
  }

  /** Returns the answer, or empty if another change has created the row. */
  private Optional<Result<ChangeId>> write(String id, LogRow row) {
    return switch (attempt(id, row)) {
      case Attempt.Won() -> {
        if (applied.offer(row) == AppliedLog.OfferResult.APPLIED) {
          snapshots.writeIfDue(applied.snapshot());
        }
        LOG.info("change_accepted", "change", id, "version", row.version());
        yield Optional.of(Result.success(new ChangeId(id, row.version())));
      }
      case Attempt.Lost(String value) -> afterLoss(new LogRow(row.version(), value));
      case Attempt.Failed(Fault fault) -> Optional.of(Result.failure(fault));
    };
  }

  private Optional<Result<ChangeId>> afterLoss(LogRow winner) {
    return applied.offer(winner) == AppliedLog.OfferResult.POISONED
        ? Optional.of(
            Result.failure(
                ResultCode.POISONED_ROW,
                "row " + winner.version() + " of the log cannot be applied; nothing was written"))
        : Optional.empty();
  }

  /**
   * Retries the put until its result is known; a repeat is harmless because a put never replaces an
   * existing row.
   */
  private Attempt attempt(String id, LogRow row) {
    boolean mayBeWritten = false;
    Fault last = Fault.of(ResultCode.STORE_UNAVAILABLE, "not tried");
    for (int attempts = 0; attempts < MAX_PUT_ATTEMPTS; attempts++) {
      Result<PutOutcome> put =
          table.putIfAbsent(
              ConfigurationLog.TABLE,
              new PlatformTable.Row(ChangeRow.key(row.version()), row.text()));
      if (put instanceof Result.Failure<PutOutcome> failure) {
        mayBeWritten |= !failure.fault().isNotRun();
        last = failure.fault();
      } else {
        return attemptOf(id, row, put.getOrElse(new PutOutcome.Written()));
      }
      if (!pause()) {
        break;
      }
    }
    return new Attempt.Failed(
        mayBeWritten ? Fault.of(ResultCode.STORE_UNKNOWN, last.detail()) : last);
  }

  private static Attempt attemptOf(String id, LogRow row, PutOutcome put) {
    return switch (put) {
      case PutOutcome.Written() -> new Attempt.Won();
      case PutOutcome.Exists(String value) ->
          hasChange(id, row, value) ? new Attempt.Won() : new Attempt.Lost(value);
    };
  }

  private static boolean hasChange(String id, LogRow row, String value) {
    return RowCodec.decode(new LogRow(row.version(), value))
        .map(read -> read.id().equals(id))
        .getOrElse(false);
  }

  private boolean pause() {
    try {
      clock.sleepMs(RETRY_DELAY_MS);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /**
   * Returns the version that a change produced; searches the table if the change is not among the
   * latest ones.
   *
   * @param id the change's identifier
   * @return the identifier with its version; {@code UNKNOWN_CHANGE} if the table has no such row
   */
  public Result<ChangeId> find(String id) {
    Optional<Long> version = applied.versionOf(id);
    return version.isPresent() ? Result.success(new ChangeId(id, version.get())) : search(id);
  }

  private Result<ChangeId> search(String id) {
    String after = "";
    while (true) {
      Result<List<PlatformTable.Row>> page =
          table.scan(ConfigurationLog.TABLE, after, SCAN_PAGE_ROWS);
      if (page instanceof Result.Failure<List<PlatformTable.Row>> failure) {
        return Result.failure(failure.fault());
      }
      List<PlatformTable.Row> rows = page.getOrElse(List.of());
      for (PlatformTable.Row row : rows) {
        Optional<ChangeId> found = match(id, row);
        if (found.isPresent()) {
          return Result.success(found.get());
        }
      }
      if (rows.size() < SCAN_PAGE_ROWS) {
        return Result.failure(ResultCode.UNKNOWN_CHANGE, "no change " + id + " in the log");
      }
      after = rows.getLast().key();
    }
  }

  private static Optional<ChangeId> match(String id, PlatformTable.Row row) {
    if (!row.value().contains(id)) {
      return Optional.empty();
    }
    return RowCodec.logRow(row)
        .flatMap(text -> RowCodec.decode(text).map(Optional::of).getOrElse(Optional.empty()))
        .filter(found -> found.id().equals(id))
        .map(found -> new ChangeId(found.id(), found.version()));
  }
}
