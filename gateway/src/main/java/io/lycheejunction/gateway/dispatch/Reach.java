package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.statement.SessionState;
import io.lycheejunction.gateway.pool.LinkRequest;
import io.lycheejunction.gateway.pool.PooledLink;
import java.util.function.Consumer;

/**
 * A request for a connection that tells its outcome to two functions.
 *
 * @param session the state that the connection is going to be set up with
 * @param priority 0 for the most urgent
 * @param untilMs the latest time at which a connection is of use, in milliseconds
 * @param onGranted is given the connection
 * @param onRefused is told why there is none
 */
record Reach(
    SessionState session,
    int priority,
    long untilMs,
    Consumer<PooledLink> onGranted,
    Consumer<Fault> onRefused)
    implements LinkRequest {

  @Override
  public void granted(PooledLink link) {
    onGranted.accept(link);
  }

  @Override
  public void refused(Fault fault) {
    onRefused.accept(fault);
  }
}
