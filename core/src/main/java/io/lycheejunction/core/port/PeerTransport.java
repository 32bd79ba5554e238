package io.lycheejunction.core.port;

import io.lycheejunction.core.result.Result;

/** Sends JSON messages to other proxies over HTTP. */
public interface PeerTransport {

  /**
   * Returns the reply of a peer to a message.
   *
   * <p>A fault that the peer returns is returned unchanged. {@code PEER_UNREACHABLE} means that the
   * message was not sent, {@code UNKNOWN_OUTCOME} that it was sent but no reply arrived.
   *
   * @param peer the entry VM of the peer
   * @param path the request path, which starts with {@code /peer/}
   * @param message the message, which is serialized as JSON
   * @param replyType the class of the reply
   * @param timeoutMs the maximum time to wait for the reply, in milliseconds
   * @param <T> the type of the reply
   * @return the reply, or a fault
   */
  <T> Result<T> call(Vm peer, String path, Object message, Class<T> replyType, long timeoutMs);
}
