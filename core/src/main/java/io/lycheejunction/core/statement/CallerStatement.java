package io.lycheejunction.core.statement;

import java.util.Objects;

/** A parsed statement of a session, as its caller sent it. */
public sealed interface CallerStatement {

  /**
   * Begins a transaction.
   *
   * @param readOnly true if the transaction only reads
   */
  record Begin(boolean readOnly) implements CallerStatement {}

  /** Commits the transaction. */
  record Commit() implements CallerStatement {}

  /** Rolls the transaction back. */
  record Rollback() implements CallerStatement {}

  /**
   * Reads data.
   *
   * @param arguments the text after the keyword, passed to the target unchanged
   */
  record Read(String arguments) implements CallerStatement {
    /** Rejects null components. */
    public Read {
      Objects.requireNonNull(arguments, "arguments is null");
    }
  }

  /**
   * Writes data.
   *
   * @param arguments the text after the keyword, passed to the target unchanged
   */
  record Write(String arguments) implements CallerStatement {
    /** Rejects null components. */
    public Write {
      Objects.requireNonNull(arguments, "arguments is null");
    }
  }

  /**
   * Sets a session variable.
   *
   * @param name the name of the variable
   * @param value the new value
   */
  record SetVariable(String name, String value) implements CallerStatement {
    /** Rejects null components. */
    public SetVariable {
      Objects.requireNonNull(name, "name is null");
      Objects.requireNonNull(value, "value is null");
    }
  }

  /**
   * Prepares a statement under a name.
   *
   * @param name the name, valid in this session
   * @param statement the text of the statement and whether it writes
   */
  record Prepare(String name, PreparedStatement statement) implements CallerStatement {
    /** Rejects null components. */
    public Prepare {
      Objects.requireNonNull(name, "name is null");
      Objects.requireNonNull(statement, "statement is null");
    }
  }

  /**
   * Runs a prepared statement.
   *
   * @param name the name of the prepared statement
   * @param arguments its arguments, passed to the target unchanged
   */
  record Execute(String name, String arguments) implements CallerStatement {
    /** Rejects null components. */
    public Execute {
      Objects.requireNonNull(name, "name is null");
      Objects.requireNonNull(arguments, "arguments is null");
    }
  }

  /**
   * Deallocates a prepared statement.
   *
   * @param name the name of the prepared statement
   */
  record Deallocate(String name) implements CallerStatement {
    /** Rejects null components. */
    public Deallocate {
      Objects.requireNonNull(name, "name is null");
    }
  }

  /**
   * A text that could not be parsed as a statement.
   *
   * @param reason the parse error
   */
  record Invalid(String reason) implements CallerStatement {
    /** Rejects null components. */
    public Invalid {
      Objects.requireNonNull(reason, "reason is null");
    }
  }
}
