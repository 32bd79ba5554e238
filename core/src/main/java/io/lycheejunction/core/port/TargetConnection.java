package io.lycheejunction.core.port;

import java.util.Optional;

/**
 * One open session on an instance, used by one request at a time.
 *
 * <p>The methods block. After an {@code Unknown} reply the session's state is unknown and it must
 * be closed.
 */
public interface TargetConnection extends AutoCloseable {

  /**
   * Returns the reply to one statement, run in the open transaction or else in one of its own.
   *
   * @param request the statement
   * @return the reply
   */
  TargetReply execute(TargetRequest request);

  /**
   * Returns the reply to the start of a transaction on this session.
   *
   * @param term the term in which its writes must run
   * @param timeoutMs the time to wait, in milliseconds
   * @return an answer without rows, or why none was started
   */
  TargetReply begin(long term, long timeoutMs);

  /**
   * Returns the reply to the commit of the open transaction.
   *
   * @param key the idempotency key that is recorded in the transaction, if any
   * @param timeoutMs the time to wait, in milliseconds
   * @return an answer with the commit's position, or why there is none
   */
  TargetReply commit(Optional<String> key, long timeoutMs);

  /**
   * Returns the reply to the rollback of the open transaction.
   *
   * @param timeoutMs the time to wait, in milliseconds
   * @return an answer without rows, or why there is none
   */
  TargetReply rollback(long timeoutMs);

  /**
   * Returns whether the session's state is known, so that another request may use it.
   *
   * @return false once a reply was unknown or the session was closed
   */
  boolean isUsable();

  /** Closes the session; the instance rolls back what is open on it. */
  @Override
  void close();
}
