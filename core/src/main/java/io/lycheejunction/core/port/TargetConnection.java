package io.lycheejunction.core.port;

import java.util.Optional;

/**
 * An open session on an instance, used by one request at a time.
 *
 * <p>The methods block until the reply arrives or the timeout expires. After an {@code Unknown}
 * reply the state of the session is unknown and the session must be closed.
 */
public interface TargetConnection extends AutoCloseable {

  /**
   * Returns the reply to a statement, run in the open transaction or, if there is none, in a
   * transaction of its own.
   *
   * @param request the statement with its key and timeout
   * @return the reply
   */
  TargetReply execute(TargetRequest request);

  /**
   * Returns the reply to the start of a transaction on this session.
   *
   * @param term the term in which the writes of the transaction must run
   * @param timeoutMs the maximum time to wait for the reply, in milliseconds
   * @return an answer without rows, or the reason why no transaction was started
   */
  TargetReply beginTransaction(long term, long timeoutMs);

  /**
   * Returns the reply to the commit of the open transaction.
   *
   * @param key the idempotency key that is recorded in the transaction, if any
   * @param timeoutMs the maximum time to wait for the reply, in milliseconds
   * @return an answer with the log position of the commit, or the reason why there is none
   */
  TargetReply commit(Optional<String> key, long timeoutMs);

  /**
   * Returns the reply to the rollback of the open transaction.
   *
   * @param timeoutMs the maximum time to wait for the reply, in milliseconds
   * @return an answer without rows, or the reason why there is none
   */
  TargetReply rollback(long timeoutMs);

  /**
   * Returns whether the state of the session is known, so that another request may use it.
   *
   * @return false after an unknown reply or after the session was closed
   */
  boolean isUsable();

  /** Closes the session; the instance rolls back an open transaction. */
  @Override
  void close();
}
