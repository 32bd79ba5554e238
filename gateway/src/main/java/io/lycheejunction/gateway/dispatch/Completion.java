package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.gateway.link.LinkReply;

/** Receives the outcome of a statement, exactly once. */
public interface Completion {

  /**
   * The statement ran.
   *
   * @param reply the target's complete answer
   */
  void done(LinkReply reply);

  /**
   * The statement has not run, has failed, or its outcome is unknown.
   *
   * @param fault the reason, whose code tells which of these it is
   */
  void failed(Fault fault);
}
