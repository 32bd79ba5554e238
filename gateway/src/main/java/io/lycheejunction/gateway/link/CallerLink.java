package io.lycheejunction.gateway.link;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.term.LogPosition;
import java.util.List;
import java.util.Optional;

/** A caller's connection, which carries the answers of its session. */
public interface CallerLink {

  /** Confirms to the caller that its session is open. */
  void accept();

  /**
   * Refuses the session and closes the connection.
   *
   * @param fault the reason
   */
  void reject(Fault fault);

  /**
   * Answers a statement with success.
   *
   * @param rows the rows that the target returned
   * @param signature the target's proof that it ran the statement; empty if no target ran it
   * @param state the transaction state of the session after the statement
   * @param position the log position to report, if one is known
   */
  void answer(
      List<String> rows,
      Optional<String> signature,
      TransactionState state,
      Optional<LogPosition> position);

  /**
   * Answers a statement with a fault.
   *
   * @param fault why the statement has no result
   * @param state the transaction state of the session after the statement
   */
  void refuse(Fault fault, TransactionState state);

  /**
   * Returns whether earlier answers are not sent yet, so that no further statement should run. The
   * session is told by {@code CallerSession.resume} when that ends.
   *
   * @return true if so
   */
  default boolean isCongested() {
    return false;
  }

  /**
   * Reports the size of the session's variables and prepared statements after a change.
   *
   * @param bytes the size, in bytes
   */
  default void setStateBytes(long bytes) {}

  /** Closes the connection once all answers have been sent. */
  void close();
}
