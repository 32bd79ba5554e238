package io.lycheejunction.gateway.pool;

import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.route.Route;
import java.util.Optional;

/**
 * An execution of a prepared statement whose name on the connection is not known yet.
 *
 * @param requestId the caller's identifier of the request
 * @param after the position that the target's log must have reached, or else the target refuses
 * @param arguments the arguments of the prepared statement
 * @param endsTransaction true if a rollback of the open transaction is sent in the same write
 * @param route the route in force for the statement
 * @param organisation the organisation of the caller, or empty if it has none
 */
public record PreparedCommand(
    String requestId,
    Optional<LogPosition> after,
    String arguments,
    boolean endsTransaction,
    Route route,
    Optional<String> organisation) {

  TargetCommand withName(String name) {
    return new TargetCommand.Run(
        Optional.of(requestId),
        after,
        new CallerStatement.Execute(name, arguments),
        Optional.of(route),
        organisation);
  }
}
