package io.lycheejunction.proxy.configuration;

import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.configuration.ChangeRow;
import io.lycheejunction.core.port.ObjectStore;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Stores snapshots in the object store, one object for each version, which is never replaced. */
final class Snapshots {
  static final String PREFIX = "configuration/snapshots/";

  /** The number of versions between two snapshots. */
  static final long INTERVAL_VERSIONS = 64;

  private static final EventLog LOG = EventLog.of(Snapshots.class);

  private final ObjectStore store;

  Snapshots(ObjectStore store) {
    this.store = Objects.requireNonNull(store, "store is null");
  }

  /**
   * Returns the newest snapshot that can be read.
   *
   * @return the snapshot, empty if there is none, or the fault if the store does not answer
   */
  Result<Optional<Snapshot>> newest() {
    return store.list(PREFIX).flatMap(this::newestOf);
  }

  private Result<Optional<Snapshot>> newestOf(List<String> names) {
    for (String name : names.reversed()) {
      Result<Optional<String>> content = store.get(name);
      if (content instanceof Result.Failure<Optional<String>> failure) {
        return Result.failure(failure.fault());
      }
      Optional<Snapshot> snapshot = content.getOrElse(Optional.empty()).flatMap(this::read);
      if (snapshot.isPresent()) {
        return Result.success(snapshot);
      }
      LOG.warn("configuration_snapshot_unreadable", "name", name);
    }
    return Result.success(Optional.empty());
  }

  private Optional<Snapshot> read(String content) {
    return Json.read(content, Snapshot.class)
        .flatMap(
            snapshot ->
                snapshot.schema() == Snapshot.SCHEMA
                    ? Result.success(Optional.of(snapshot))
                    : Result.<Optional<Snapshot>>failure(ResultCode.BAD_JSON, "unknown schema"))
        .getOrElse(Optional.empty());
  }

  /**
   * Writes the snapshot if its version is a multiple of {@link #INTERVAL_VERSIONS}.
   *
   * @param snapshot the snapshot
   */
  void writeIfDue(Snapshot snapshot) {
    long version = snapshot.configuration().version();
    if (version == 0 || version % INTERVAL_VERSIONS != 0) {
      return;
    }
    store
        .put(PREFIX + ChangeRow.key(version), Json.write(snapshot))
        .fold(
            fault -> {
              LOG.warn("configuration_snapshot_failed", "version", version, "code", fault.code());
              return version;
            },
            name -> {
              LOG.info("configuration_snapshot_written", "version", version);
              return version;
            });
  }
}
