package io.lycheejunction.proxy.forward;

import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/** Maps the paths of messages from other proxies to their handlers. */
public final class PeerRoutes {
  private final Map<String, Function<String, Result<?>>> handlers = new ConcurrentHashMap<>();

  /**
   * Adds the handler of a path.
   *
   * @param path the path, which starts with {@code /peer/}
   * @param messageType the class of the message
   * @param handler handles a message and returns the reply; it may block
   * @param <M> the type of the message
   */
  public <M> void add(String path, Class<M> messageType, Function<M, ? extends Result<?>> handler) {
    Objects.requireNonNull(path, "path is null");
    Objects.requireNonNull(handler, "handler is null");
    handlers.put(
        path,
        body -> Json.read(body, messageType).<Result<?>>fold(Result::failure, handler::apply));
  }

  /**
   * Returns the JSON envelope of the reply to a refused message.
   *
   * @param fault why the message was refused
   * @return the JSON text of the envelope
   */
  public static String refusal(Fault fault) {
    return Json.write(PeerReply.of(new Result.Failure<>(fault)));
  }

  /**
   * Handles a message and returns the JSON envelope of the reply.
   *
   * @param path the path, which starts with {@code /peer/}
   * @param body the JSON text of the message
   * @return the JSON text of the envelope
   */
  public String handle(String path, String body) {
    Function<String, Result<?>> handler = handlers.get(path);
    Result<?> result =
        handler == null
            ? Result.failure(ResultCode.BAD_VALUE, "no such peer path: " + path)
            : handler.apply(body);
    return Json.write(PeerReply.of(result));
  }
}
