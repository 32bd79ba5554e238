package io.lycheejunction.gateway.pool;

import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.route.Route;
import java.util.Optional;

/**
 * A prepared statement before the connection that runs it, and so its name there, is known.
 *
 * @param requestId the caller's identifier
 * @param after the position that the target's log must have, or else the target refuses
 * @param arguments the arguments
 * @param endsTransaction true if the transaction around it is rolled back in the same write
 * @param route the route in force for it
 */
public record PreparedCommand(
    String requestId,
    Optional<LogPosition> after,
    String arguments,
    boolean endsTransaction,
    Route route) {

  TargetCommand withName(String name) {
    return new TargetCommand.Run(
        Optional.of(requestId),
        after,
        new CallerStatement.Execute(name, arguments),
        Optional.of(route));
  }
}
