package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.statement.PreparedShape;
import io.lycheejunction.core.statement.SessionState;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.pool.LinkResult;
import io.lycheejunction.gateway.pool.PooledLink;
import io.lycheejunction.gateway.pool.PreparedCommand;
import io.lycheejunction.gateway.route.Route;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A statement that needs a target.
 *
 * @param requestId the caller's identifier
 * @param route the route in force for it
 * @param session the state of its session
 * @param sessionCommit the latest commit of its session
 * @param statement the statement
 * @param shape what it does, if it is prepared
 */
public record Work(
    String requestId,
    Route route,
    SessionState session,
    LogPosition sessionCommit,
    CallerStatement statement,
    Optional<PreparedShape> shape) {
  /** Rejects null components. */
  public Work {
    Objects.requireNonNull(requestId, "requestId is null");
    Objects.requireNonNull(route, "route is null");
    Objects.requireNonNull(session, "session is null");
    Objects.requireNonNull(sessionCommit, "sessionCommit is null");
    Objects.requireNonNull(statement, "statement is null");
    Objects.requireNonNull(shape, "shape is null");
  }

  /**
   * Returns whether the statement writes.
   *
   * @return true if so
   */
  public boolean writes() {
    return shape
        .map(PreparedShape::writes)
        .orElseGet(() -> statement instanceof CallerStatement.Write);
  }

  /**
   * Sends the statement.
   *
   * @param link the connection that runs it
   * @param after the position that the target's log must have, or else the target refuses
   * @param rollBack true if the transaction around it ends in the same write
   * @param done is told the result
   */
  public void send(
      PooledLink link, Optional<LogPosition> after, boolean rollBack, Consumer<LinkResult> done) {
    if (shape.isPresent()) {
      String arguments = ((CallerStatement.Execute) statement).arguments();
      link.runPrepared(
          session,
          shape.get(),
          new PreparedCommand(requestId, after, arguments, rollBack, route),
          done);
      return;
    }
    TargetCommand command =
        new TargetCommand.Run(Optional.of(requestId), after, statement, Optional.of(route));
    if (rollBack) {
      link.runAndRollBack(session, command, done);
    } else {
      link.run(session, command, done);
    }
  }

  /**
   * Returns the position that an answer shows.
   *
   * @param reply the answer
   * @return the position, or {@code ORIGIN} if it shows none
   */
  static LogPosition positionOf(LinkReply reply) {
    return reply.position().orElse(LogPosition.ORIGIN);
  }
}
