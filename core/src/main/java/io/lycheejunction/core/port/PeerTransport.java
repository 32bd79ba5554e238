package io.lycheejunction.core.port;

import io.lycheejunction.core.result.Result;

/** Sends JSON messages to other proxies by HTTP. */
public interface PeerTransport {

  /**
   * Returns the peer's reply to a message.
   *
   * <p>A fault that the peer returns is passed on as it is. {@code PEER_UNREACHABLE} means that the
   * message was not sent; {@code UNKNOWN_OUTCOME} that it was sent and no reply came.
   *
   * @param peer the entry VM
   * @param path the path, which starts with {@code /peer/}
   * @param message the message
   * @param replyType the class of the reply
   * @param timeoutMs the time to wait, in milliseconds
   * @param <T> the type of the reply
   * @return the reply
   */
  <T> Result<T> call(Vm peer, String path, Object message, Class<T> replyType, long timeoutMs);
}
