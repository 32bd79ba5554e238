package io.lycheejunction.proxy.burn;

import io.lycheejunction.core.port.ObjectStore;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** An object store in memory that can be down or lose replies. */
final class FakeStore implements ObjectStore {
  final Map<String, String> objects = new TreeMap<>();
  boolean down;
  boolean loseReplies;
  int puts;

  @Override
  public Result<Optional<String>> get(String name) {
    return down
        ? Result.failure(ResultCode.STORE_UNAVAILABLE, "down")
        : Result.success(Optional.ofNullable(objects.get(name)));
  }

  @Override
  public Result<String> put(String name, String content) {
    puts++;
    if (down) {
      return Result.failure(ResultCode.STORE_UNAVAILABLE, "down");
    }
    objects.put(name, content);
    return loseReplies
        ? Result.failure(ResultCode.STORE_UNKNOWN, "reply lost")
        : Result.success(name);
  }

  @Override
  public Result<List<String>> list(String prefix) {
    return down
        ? Result.failure(ResultCode.STORE_UNAVAILABLE, "down")
        : Result.success(
            objects.keySet().stream().filter(name -> name.startsWith(prefix)).toList());
  }
}
