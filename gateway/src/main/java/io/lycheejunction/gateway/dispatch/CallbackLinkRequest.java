package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.statement.SessionState;
import io.lycheejunction.gateway.pool.LinkRequest;
import io.lycheejunction.gateway.pool.PooledLink;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A request for a connection that passes its outcome to one of two callbacks.
 *
 * @param session the session state that the connection is going to be set up with
 * @param organisation the organisation whose connection is required, or empty for any connection
 * @param priority the priority, 0 for the most urgent statement
 * @param deadlineMs the deadline of the request, in milliseconds on the scheduler's clock
 * @param onGranted receives the connection
 * @param onRefused receives the fault if no connection is granted
 */
record CallbackLinkRequest(
    SessionState session,
    Optional<String> organisation,
    int priority,
    long deadlineMs,
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
