package io.lycheejunction.common.platform;

import io.lycheejunction.common.wire.PlatformAnswer;
import io.lycheejunction.common.wire.PlatformMessage;
import io.lycheejunction.core.port.ObjectStore;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Client of the platform's object store, with JSON over HTTP. */
public final class HttpObjectStore implements ObjectStore {
  private final PlatformMessageClient calls;

  /**
   * Creates the client.
   *
   * @param calls sends the requests to the platform
   */
  public HttpObjectStore(PlatformMessageClient calls) {
    this.calls = Objects.requireNonNull(calls, "calls is null");
  }

  @Override
  public Result<Optional<String>> get(String name) {
    PlatformMessage message = new PlatformMessage.GetObject(name);
    return calls
        .call(message, PlatformAnswer.Content.class, ResultCode.STORE_UNAVAILABLE)
        .map(PlatformAnswer.Content::content);
  }

  @Override
  public Result<String> put(String name, String content) {
    PlatformMessage message = new PlatformMessage.PutObject(name, content);
    return calls
        .call(message, PlatformAnswer.Names.class, ResultCode.STORE_UNKNOWN)
        .map(names -> name);
  }

  @Override
  public Result<List<String>> list(String prefix) {
    PlatformMessage message = new PlatformMessage.ListObjects(prefix);
    return calls
        .call(message, PlatformAnswer.Names.class, ResultCode.STORE_UNAVAILABLE)
        .map(PlatformAnswer.Names::names);
  }
}
