package io.lycheejunction.gateway.session;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.statement.SessionState;
import java.util.Objects;

/** The result of a statement that affects the session state only, so that no target runs it. */
sealed interface LocalResult {

  /**
   * The statement succeeded.
   *
   * @param state the state of the session from now on
   */
  record Changed(SessionState state) implements LocalResult {
    /** Rejects null components. */
    public Changed {
      Objects.requireNonNull(state, "state is null");
    }
  }

  /**
   * The statement was refused and has changed nothing.
   *
   * @param fault the reason
   */
  record Refused(Fault fault) implements LocalResult {
    /** Rejects null components. */
    public Refused {
      Objects.requireNonNull(fault, "fault is null");
    }
  }

  /**
   * Returns the result of a statement.
   *
   * @param state the state of the session before the statement
   * @param statement the statement; one that a target would have to run is refused
   * @return the result
   */
  static LocalResult of(SessionState state, CallerStatement statement) {
    return switch (statement) {
      case CallerStatement.SetVariable set ->
          new Changed(state.withVariable(set.name(), set.value()));
      case CallerStatement.Prepare prepare ->
          new Changed(state.withPrepared(prepare.name(), prepare.statement()));
      case CallerStatement.Deallocate deallocate -> deallocate(state, deallocate.name());
      case CallerStatement.Invalid invalid ->
          new Refused(Fault.of(ResultCode.BAD_STATEMENT, invalid.reason()));
      default ->
          new Refused(Fault.of(ResultCode.BAD_STATEMENT, "the statement is not allowed here"));
    };
  }

  private static LocalResult deallocate(SessionState state, String name) {
    return state.preparedStatement(name).isPresent()
        ? new Changed(state.withoutPrepared(name))
        : new Refused(unknownPrepared(name));
  }

  /** Returns the fault for a prepared statement that the session does not have. */
  static Fault unknownPrepared(String name) {
    return Fault.of(ResultCode.UNKNOWN_PREPARED, "no prepared statement " + name);
  }
}
