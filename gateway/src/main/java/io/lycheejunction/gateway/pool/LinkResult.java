package io.lycheejunction.gateway.pool;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.gateway.link.LinkReply;

/** The outcome of a command on a connection. */
public sealed interface LinkResult {

  /**
   * The target answered.
   *
   * @param reply the complete answer
   */
  record Replied(LinkReply reply) implements LinkResult {}

  /**
   * The connection closed before the complete answer arrived, so the command may have run.
   *
   * @param cause why the connection closed
   */
  record Lost(Fault cause) implements LinkResult {}
}
