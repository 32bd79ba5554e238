package io.lycheejunction.gateway.link;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.term.LogPosition;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A target's complete answer to one command.
 *
 * @param rows the rows, as the target sent them
 * @param signature the target's proof that it ran the statement; empty if it reported a fault
 * @param fault the fault that the target reported
 * @param state the transaction state of the connection after the command
 * @param position the target's log position after the command
 */
public record LinkReply(
    List<String> rows,
    Optional<String> signature,
    Optional<Fault> fault,
    TransactionState state,
    Optional<LogPosition> position) {
  /** Rejects null components and copies the list. */
  public LinkReply {
    rows = List.copyOf(rows);
    Objects.requireNonNull(signature, "signature is null");
    Objects.requireNonNull(fault, "fault is null");
    Objects.requireNonNull(state, "state is null");
    Objects.requireNonNull(position, "position is null");
  }

  /**
   * Returns whether the target reported no fault.
   *
   * @return true if so
   */
  public boolean isDone() {
    return fault.isEmpty();
  }
}
