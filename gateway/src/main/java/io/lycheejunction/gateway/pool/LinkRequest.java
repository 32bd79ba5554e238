package io.lycheejunction.gateway.pool;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.statement.SessionState;

/** A wish for a connection; exactly one of its two outcomes is told. */
public interface LinkRequest {
  /** The priority of questions of the gateway's own, which may use one connection more. */
  int QUESTION = -1;

  /**
   * Returns the state that the connection is going to be set up with.
   *
   * @return the state of the session
   */
  SessionState session();

  /**
   * Returns how urgent the request is.
   *
   * @return 0 for the most urgent statement, or {@code QUESTION}
   */
  int priority();

  /**
   * Returns the latest time at which a connection is of use.
   *
   * @return milliseconds on the scheduler's clock
   */
  long untilMs();

  /**
   * Is given a connection, to be released or abandoned.
   *
   * @param link the connection
   */
  void granted(PooledLink link);

  /**
   * Is told that there is none.
   *
   * @param fault why
   */
  void refused(Fault fault);
}
