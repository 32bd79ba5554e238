package io.lycheejunction.core.statement;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The state that a session keeps between statements: variables and prepared statements; immutable.
 *
 * @param variables the values of the session variables, by name
 * @param prepared the prepared statements by name
 */
public record SessionState(Map<String, String> variables, Map<String, PreparedStatement> prepared) {
  private static final SessionState EMPTY = new SessionState(Map.of(), Map.of());

  /** Rejects null components and copies the maps. */
  public SessionState {
    variables = Map.copyOf(Objects.requireNonNull(variables, "variables is null"));
    prepared = Map.copyOf(Objects.requireNonNull(prepared, "prepared is null"));
  }

  /**
   * Returns the state of a new session.
   *
   * @return a state without variables and prepared statements
   */
  public static SessionState empty() {
    return EMPTY;
  }

  /**
   * Returns the size of the state: one byte for each character of its names and values.
   *
   * @return the size, in bytes
   */
  public long sizeBytes() {
    long bytes = 0;
    for (Map.Entry<String, String> variable : variables.entrySet()) {
      bytes += variable.getKey().length() + variable.getValue().length();
    }
    for (Map.Entry<String, PreparedStatement> entry : prepared.entrySet()) {
      bytes += entry.getKey().length() + entry.getValue().text().length();
    }
    return bytes;
  }

  /**
   * Returns the state after a session variable was set.
   *
   * @param name the name of the variable
   * @param value the new value
   * @return the new state; the same if the variable already has the value
   */
  public SessionState withVariable(String name, String value) {
    if (value.equals(variables.get(name))) {
      return this;
    }
    Map<String, String> changed = new HashMap<>(variables);
    changed.put(name, value);
    return new SessionState(changed, prepared);
  }

  /**
   * Returns the state after a statement was prepared.
   *
   * @param name the name of the prepared statement
   * @param preparedStatement the definition of the statement
   * @return the new state
   */
  public SessionState withPrepared(String name, PreparedStatement preparedStatement) {
    Map<String, PreparedStatement> changed = new HashMap<>(prepared);
    changed.put(name, preparedStatement);
    return new SessionState(variables, changed);
  }

  /**
   * Returns the state after a prepared statement was deallocated.
   *
   * @param name the name of the prepared statement
   * @return the new state; the same if the name is unknown
   */
  public SessionState withoutPrepared(String name) {
    if (!prepared.containsKey(name)) {
      return this;
    }
    Map<String, PreparedStatement> changed = new HashMap<>(prepared);
    changed.remove(name);
    return new SessionState(variables, changed);
  }

  /**
   * Returns the definition of a prepared statement.
   *
   * @param name the name of the prepared statement
   * @return the definition, or empty if the session has not prepared it
   */
  public Optional<PreparedStatement> preparedStatement(String name) {
    return Optional.ofNullable(prepared.get(name));
  }
}
