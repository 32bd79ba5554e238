package io.lycheejunction.gateway.pool;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.statement.SessionState;
import java.util.Optional;

/**
 * A request for a connection. Unless it is cancelled, the pool calls exactly one of its two outcome
 * methods.
 */
public interface LinkRequest {
  /** The priority of the gateway's own probes, which may use one connection beyond the share. */
  int INTERNAL_PRIORITY = -1;

  /**
   * Returns the session state that the connection is going to be set up with.
   *
   * @return the state of the session
   */
  SessionState session();

  /**
   * Returns the organisation whose connection is required. A target accepts the statements of one
   * organisation on each connection.
   *
   * @return the name of the organisation; empty if any connection will do
   */
  default Optional<String> organisation() {
    return Optional.empty();
  }

  /**
   * Returns the priority of the request; lower values are served first.
   *
   * @return 0 for the most urgent statement, or {@code INTERNAL_PRIORITY}
   */
  int priority();

  /**
   * Returns the deadline of the request.
   *
   * @return the time, in milliseconds on the scheduler's clock
   */
  long deadlineMs();

  /**
   * Receives a connection, which the caller must release or abandon.
   *
   * @param link the connection
   */
  void granted(PooledLink link);

  /**
   * Receives the fault if no connection is granted.
   *
   * @param fault the reason
   */
  void refused(Fault fault);
}
