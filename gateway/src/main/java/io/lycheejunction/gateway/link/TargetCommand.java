package io.lycheejunction.gateway.link;

import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.route.Route;
import java.util.Objects;
import java.util.Optional;

/** A command to a target over one of its connections; each gets one {@link LinkReply}. */
public sealed interface TargetCommand {

  /**
   * Runs a statement.
   *
   * @param requestId the caller's identifier; empty for statements that the gateway issues itself
   * @param after the position that the target's log must have, or else the target refuses
   * @param statement the statement
   * @param route the route in force for it, for a VM that it is forwarded to; empty for statements
   *     that the gateway issues itself
   */
  record Run(
      Optional<String> requestId,
      Optional<LogPosition> after,
      CallerStatement statement,
      Optional<Route> route)
      implements TargetCommand {
    /** Rejects null components. */
    public Run {
      Objects.requireNonNull(requestId, "requestId is null");
      Objects.requireNonNull(after, "after is null");
      Objects.requireNonNull(statement, "statement is null");
      Objects.requireNonNull(route, "route is null");
    }
  }

  /** Clears the values and prepared statements of the connection. */
  record Reset() implements TargetCommand {}

  /** Asks for the target's role, term and position. */
  record AskStatus() implements TargetCommand {}

  /**
   * Orders a replica to receive nothing more of the present primary; its answer is a status.
   *
   * @param term the term that follows the primary's
   */
  record StopReceiving(long term) implements TargetCommand {}

  /** Lets a replica receive again. */
  record ReceiveAgain() implements TargetCommand {}

  /**
   * Orders a primary of a lower term to become a replica.
   *
   * @param term the term that follows the primary's
   */
  record StepDown(long term) implements TargetCommand {}

  /**
   * Returns a statement that the gateway issues itself.
   *
   * @param statement the statement
   * @return the command
   */
  static TargetCommand own(CallerStatement statement) {
    return new Run(Optional.empty(), Optional.empty(), statement, Optional.empty());
  }
}
