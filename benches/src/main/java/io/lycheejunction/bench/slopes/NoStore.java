package io.lycheejunction.bench.slopes;

import io.lycheejunction.core.port.ObjectStore;
import io.lycheejunction.core.port.PlatformTable;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Optional;

/** A platform that is down. */
final class NoStore implements PlatformTable, ObjectStore {
  @Override
  public Result<PutOutcome> putIfAbsent(String table, Row row) {
    return down();
  }

  @Override
  public Result<Optional<Row>> get(String table, String key) {
    return down();
  }

  @Override
  public Result<Optional<String>> get(String name) {
    return down();
  }

  @Override
  public Result<List<Row>> scan(String table, String afterKey, int limit) {
    return down();
  }

  @Override
  public Result<String> put(String name, String content) {
    return down();
  }

  @Override
  public Result<List<String>> list(String prefix) {
    return down();
  }

  private static <T> Result<T> down() {
    return Result.failure(ResultCode.STORE_UNAVAILABLE, "no store");
  }
}
