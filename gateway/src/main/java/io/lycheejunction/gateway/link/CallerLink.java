package io.lycheejunction.gateway.link;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.term.LogPosition;
import java.util.List;
import java.util.Optional;

/** A caller's connection, on which its session is answered. */
public interface CallerLink {

  /** Tells the caller that its session is open. */
  void accept();

  /**
   * Refuses the session and closes the connection.
   *
   * @param fault why
   */
  void reject(Fault fault);

  /**
   * Answers a statement with success.
   *
   * @param rows the rows
   * @param signature the target's proof, or empty if no target ran the statement
   * @param state the state of the session
   * @param position the log position to show, if one is known
   */
  void answer(
      List<String> rows,
      Optional<String> signature,
      TransactionState state,
      Optional<LogPosition> position);

  /**
   * Answers a statement with a fault.
   *
   * @param fault the fault
   * @param state the state of the session
   */
  void refuse(Fault fault, TransactionState state);

  /** Closes the connection after what was answered has been sent. */
  void close();
}
