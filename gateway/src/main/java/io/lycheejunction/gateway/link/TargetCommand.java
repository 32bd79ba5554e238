package io.lycheejunction.gateway.link;

import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.route.Route;
import java.util.Objects;
import java.util.Optional;

/** A command to a target; the target answers each with one {@link LinkReply}. */
public sealed interface TargetCommand {

  /**
   * Runs a statement.
   *
   * @param requestId the caller's identifier of the request; empty for statements that the gateway
   *     issues itself
   * @param after the position that the target's log must have reached, or else the target refuses
   * @param statement the statement
   * @param route the route in force, which is sent if the statement is forwarded to another VM;
   *     empty for statements that the gateway issues itself
   * @param organisation the organisation of the caller, which is sent with the route; empty if it
   *     has none
   */
  record Run(
      Optional<String> requestId,
      Optional<LogPosition> after,
      CallerStatement statement,
      Optional<Route> route,
      Optional<String> organisation)
      implements TargetCommand {
    /** Rejects null components. */
    public Run {
      Objects.requireNonNull(requestId, "requestId is null");
      Objects.requireNonNull(after, "after is null");
      Objects.requireNonNull(statement, "statement is null");
      Objects.requireNonNull(route, "route is null");
      Objects.requireNonNull(organisation, "organisation is null");
    }
  }

  /** Clears the session values and the prepared statements of the connection. */
  record Reset() implements TargetCommand {}

  /** Asks for the target's role, term and position. */
  record AskStatus() implements TargetCommand {}

  /**
   * Orders a replica to stop receiving from the present primary; the answer is its status.
   *
   * @param term the next term, one above that of the present primary
   */
  record StopReceiving(long term) implements TargetCommand {}

  /** Allows a replica to receive from the primary again. */
  record ResumeReceiving() implements TargetCommand {}

  /**
   * Orders a primary of a lower term to become a replica.
   *
   * @param term the next term, one above that of the present primary
   */
  record StepDown(long term) implements TargetCommand {}

  /**
   * Returns a command that runs a statement of the gateway itself.
   *
   * @param statement the statement
   * @return the command, without request identifier, log position and route
   */
  static TargetCommand ofGateway(CallerStatement statement) {
    return new Run(
        Optional.empty(), Optional.empty(), statement, Optional.empty(), Optional.empty());
  }
}
