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

/**
 * Keeps counts as objects: {@code burn/HOUR/VM/START} from each process and {@code
 * burn-rollup/HOUR} for all.
 */
public final class BurnStore {
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
    return store.put("burn-rollup/" + sum.hour(), Json.write(sum));
  }

  /**
   * Returns the written sum of an hour.
   *
   * @param hour the hours since the epoch
   * @return the sum, or empty if none is written
   */
  public Result<Optional<HourSum>> rollup(long hour) {
    return read("burn-rollup/" + hour, HourSum.class);
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
