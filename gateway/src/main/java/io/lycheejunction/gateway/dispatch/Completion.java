package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.gateway.link.LinkReply;

/** Is told once how a statement ended. */
public interface Completion {

  /**
   * The statement ran and its whole answer is here.
   *
   * @param reply the target's answer
   */
  void done(LinkReply reply);

  /**
   * The statement has no answer.
   *
   * @param fault why
   */
  void failed(Fault fault);
}
