package io.lycheejunction.bench.slopes;

import io.lycheejunction.core.port.ObjectStore;
import io.lycheejunction.core.port.PlatformTable;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Optional;

/** A platform table and object store that fail every call as unavailable. */
final class UnavailableStore implements PlatformTable, ObjectStore {
  @Override
  public Result<PutOutcome> putIfAbsent(String table, Row row) {
    return unavailable();
  }

  @Override
  public Result<Optional<Row>> get(String table, String key) {
    return unavailable();
  }

  @Override
  public Result<Optional<String>> get(String name) {
    return unavailable();
  }

  @Override
  public Result<List<Row>> scan(String table, String afterKey, int limit) {
    return unavailable();
  }

  @Override
  public Result<String> put(String name, String content) {
    return unavailable();
  }

  @Override
  public Result<List<String>> list(String prefix) {
    return unavailable();
  }

  private static <T> Result<T> unavailable() {
    return Result.failure(
        ResultCode.STORE_UNAVAILABLE, "the platform store is not available in this bench");
  }
}
