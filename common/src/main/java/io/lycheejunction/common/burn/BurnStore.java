package io.lycheejunction.common.burn;

import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.burn.HourRows;
import io.lycheejunction.core.burn.HourSum;
import io.lycheejunction.core.port.ObjectStore;
import io.lycheejunction.core.result.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Keeps counts as objects: {@code burn/HOUR/VM/START} from each process and {@code
 * burn-rollup/HOUR} for all.
 */
public final class BurnStore {
  private static final String ROLLUP_PREFIX = "burn-rollup/";

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
   * Returns the object's name after the rows of a process have been written or replaced.
   *
   * @param rows the rows
   * @return the name
   */
  public Result<String> put(HourRows rows) {
    return store.put("burn/" + rows.hour() + "/" + rows.writer(), Json.write(rows));
  }

  /**
   * Returns the sum of all processes' rows, read one by one.
   *
   * @param hour the hours since the epoch
   * @return the sum, or the fault of the first object that cannot be read
   */
  public Result<HourSum> sum(long hour) {
    return store.list("burn/" + hour + "/").flatMap(names -> readAll(hour, names));
  }

  private Result<HourSum> readAll(long hour, List<String> names) {
    List<HourRows> all = new ArrayList<>();
    for (String name : names) {
      Result<Optional<HourRows>> rows = read(name, HourRows.class);
      if (rows instanceof Result.Failure<Optional<HourRows>> failure) {
        return Result.failure(failure.fault());
      }
      rows.getOrElse(Optional.empty()).ifPresent(all::add);
    }
    return Result.success(HourSum.of(hour, all));
  }

  /**
   * Returns the object's name after the sum of an hour has been written or replaced.
   *
   * @param sum the sum
   * @return the name
   */
  public Result<String> putRollup(HourSum sum) {
    return store.put(ROLLUP_PREFIX + sum.hour(), Json.write(sum));
  }

  /**
   * Returns the written sum of an hour.
   *
   * @param hour the hours since the epoch
   * @return the sum, or empty if none is written
   */
  public Result<Optional<HourSum>> rollup(long hour) {
    return read(ROLLUP_PREFIX + hour, HourSum.class);
  }

  /**
   * Returns the hours whose sums are written.
   *
   * @return the hours since the epoch
   */
  public Result<Set<Long>> rollupHours() {
    return store
        .list(ROLLUP_PREFIX)
        .map(
            names ->
                names.stream()
                    .map(name -> Long.valueOf(name.substring(ROLLUP_PREFIX.length())))
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
