package io.lycheejunction.gateway.pool;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.link.TargetLinkOpener;

/** Passes the events of a connection to its pool. */
record PooledLinkListener(TargetPool pool, PooledLink pooled) implements TargetLinkOpener.Listener {

  @Override
  public void opened(LinkReply reply) {
    pool.onOpened(pooled, reply);
  }

  @Override
  public void replied(LinkReply reply) {
    pooled.onReplied(reply);
  }

  @Override
  public void closed(Fault cause) {
    pooled.onClosed(cause);
  }
}
