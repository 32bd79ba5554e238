package io.lycheejunction.gateway.pool;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.gateway.link.LinkReply;

/** How a command on a connection ended. */
public sealed interface LinkResult {

  /**
   * The target answered.
   *
   * @param reply the whole answer
   */
  record Replied(LinkReply reply) implements LinkResult {}

  /**
   * The connection ended before the whole answer came: the command may have run.
   *
   * @param cause why it ended
   */
  record Lost(Fault cause) implements LinkResult {}
}
