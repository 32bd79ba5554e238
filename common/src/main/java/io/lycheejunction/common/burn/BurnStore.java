package io.lycheejunction.common.burn;

import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.burn.HourCounts;
import io.lycheejunction.core.burn.WriterHourCounts;
import io.lycheejunction.core.port.ObjectStore;
import io.lycheejunction.core.result.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Stores hourly request counts in the platform's object store: one object {@code
 * burn/HOUR/VM/START} for each process, and one object {@code burn-rollup/HOUR} with the sum over
 * all processes.
 */
public final class BurnStore {
  private static final String HOUR_SUM_PREFIX = "burn-rollup/";

  private final ObjectStore store;

  /**
   * Creates the store.
   *
   * @param store the platform's object store
   */
  public BurnStore(ObjectStore store) {
    this.store = Objects.requireNonNull(store, "store is null");
  }

  /**
   * Returns the object's name after writing or replacing the counts of one process in one hour.
   *
   * @param rows the counts of the process
   * @return the name of the object, or the fault of the object store
   */
  public Result<String> putWriterCounts(WriterHourCounts rows) {
    return store.put("burn/" + rows.hour() + "/" + rows.writer(), Json.write(rows));
  }

  /**
   * Returns the sum of the counts that all processes have written for an hour.
   *
   * @param hour the hour, counted from the epoch
   * @return the sum, or the fault of the first object that cannot be read
   */
  public Result<HourCounts> sumWriterCounts(long hour) {
    return store.list("burn/" + hour + "/").flatMap(names -> sumObjects(hour, names));
  }

  private Result<HourCounts> sumObjects(long hour, List<String> names) {
    List<WriterHourCounts> processRows = new ArrayList<>();
    for (String name : names) {
      Result<Optional<WriterHourCounts>> rows = read(name, WriterHourCounts.class);
      if (rows instanceof Result.Failure<Optional<WriterHourCounts>> failure) {
        return Result.failure(failure.fault());
      }
      rows.getOrElse(Optional.empty()).ifPresent(processRows::add);
    }
    return Result.success(HourCounts.of(hour, processRows));
  }

  /**
   * Returns the object's name after writing or replacing the sum of an hour.
   *
   * @param sum the sum over all processes
   * @return the name of the object, or the fault of the object store
   */
  public Result<String> putHourCounts(HourCounts sum) {
    return store.put(HOUR_SUM_PREFIX + sum.hour(), Json.write(sum));
  }

  /**
   * Returns the stored sum of an hour.
   *
   * @param hour the hour, counted from the epoch
   * @return the sum, or empty if none is stored
   */
  public Result<Optional<HourCounts>> getHourCounts(long hour) {
    return read(HOUR_SUM_PREFIX + hour, HourCounts.class);
  }

  /**
   * Returns the hours whose sums are stored.
   *
   * @return the hours, counted from the epoch
   */
  public Result<Set<Long>> listAggregatedHours() {
    return store
        .list(HOUR_SUM_PREFIX)
        .map(
            names ->
                names.stream()
                    .map(name -> Long.valueOf(name.substring(HOUR_SUM_PREFIX.length())))
                    .collect(Collectors.toSet()));
  }

  private <T> Result<Optional<T>> read(String name, Class<T> type) {
    return store
        .get(name)
        .flatMap(
            content ->
                content.isEmpty()
                    ? Result.success(Optional.empty())
                    : Json.read(content.get(), type).map(Optional::of));
  }
}
