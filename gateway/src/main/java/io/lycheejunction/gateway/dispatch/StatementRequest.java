package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.statement.PreparedStatement;
import io.lycheejunction.core.statement.SessionState;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.pool.LinkResult;
import io.lycheejunction.gateway.pool.PooledLink;
import io.lycheejunction.gateway.pool.PreparedCommand;
import io.lycheejunction.gateway.route.ReadRule;
import io.lycheejunction.gateway.route.Route;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A statement to run on a target, with its route and the state of its session.
 *
 * @param requestId the caller's identifier of the request
 * @param organisation the organisation of the caller, or empty if it has none
 * @param route the route in force for the statement
 * @param session the session state to set the connection up with
 * @param sessionCommit the log position of the latest commit of the session
 * @param statement the statement as the caller sent it
 * @param preparedStatement the text of the prepared statement and whether it writes; empty unless
 *     the statement executes a prepared one
 * @param forwarded true if another VM has forwarded the statement to this one
 */
public record StatementRequest(
    String requestId,
    Optional<String> organisation,
    Route route,
    SessionState session,
    LogPosition sessionCommit,
    CallerStatement statement,
    Optional<PreparedStatement> preparedStatement,
    boolean forwarded) {
  /** Rejects null components. */
  public StatementRequest {
    Objects.requireNonNull(requestId, "requestId is null");
    Objects.requireNonNull(organisation, "organisation is null");
    Objects.requireNonNull(route, "route is null");
    Objects.requireNonNull(session, "session is null");
    Objects.requireNonNull(sessionCommit, "sessionCommit is null");
    Objects.requireNonNull(statement, "statement is null");
    Objects.requireNonNull(preparedStatement, "preparedStatement is null");
  }

  /**
   * Creates a statement of a caller of this VM.
   *
   * @param requestId the caller's identifier of the request
   * @param organisation the organisation of the caller, or empty if it has none
   * @param route the route in force for the statement
   * @param session the session state to set the connection up with
   * @param sessionCommit the log position of the latest commit of the session
   * @param statement the statement as the caller sent it
   * @param preparedStatement the text of the prepared statement and whether it writes; empty unless
   *     the statement executes a prepared one
   */
  public StatementRequest(
      String requestId,
      Optional<String> organisation,
      Route route,
      SessionState session,
      LogPosition sessionCommit,
      CallerStatement statement,
      Optional<PreparedStatement> preparedStatement) {
    this(
        requestId,
        organisation,
        route,
        session,
        sessionCommit,
        statement,
        preparedStatement,
        false);
  }

  /**
   * Returns whether the statement writes.
   *
   * @return true if so
   */
  public boolean writes() {
    return preparedStatement
        .map(PreparedStatement::writes)
        .orElseGet(() -> statement instanceof CallerStatement.Write);
  }

  /**
   * Returns whether only the primary can run the statement outside a transaction.
   *
   * @return true if it writes, or reads the latest data
   */
  boolean needsPrimary() {
    return writes() || route.readRule() instanceof ReadRule.Latest;
  }

  /**
   * Returns the statement with another time limit.
   *
   * @param timeLimitMs the time limit, in milliseconds
   * @return the statement
   */
  StatementRequest withTimeLimit(long timeLimitMs) {
    return new StatementRequest(
        requestId,
        organisation,
        route.withStatementTimeoutMs(timeLimitMs),
        session,
        sessionCommit,
        statement,
        preparedStatement,
        forwarded);
  }

  /**
   * Sends the statement over a connection.
   *
   * @param link the connection
   * @param after the position that the target's log must have reached, or else the target refuses
   * @param rollBack true if a rollback of the open transaction is sent in the same write
   * @param done receives the result
   */
  public void send(
      PooledLink link, Optional<LogPosition> after, boolean rollBack, Consumer<LinkResult> done) {
    if (preparedStatement.isPresent()) {
      String arguments = ((CallerStatement.Execute) statement).arguments();
      link.runPrepared(
          session,
          preparedStatement.get(),
          new PreparedCommand(requestId, after, arguments, rollBack, route, organisation),
          done);
      return;
    }
    TargetCommand command =
        new TargetCommand.Run(
            Optional.of(requestId), after, statement, Optional.of(route), organisation);
    if (rollBack) {
      link.runAndRollBack(session, command, done);
    } else {
      link.run(session, command, done);
    }
  }

  /**
   * Returns the log position in an answer.
   *
   * @param reply the answer
   * @return the position, or {@code ORIGIN} if the answer contains none
   */
  static LogPosition positionOf(LinkReply reply) {
    return reply.position().orElse(LogPosition.ORIGIN);
  }
}
