package io.lycheejunction.core.statement;

import java.util.Objects;

/** A statement of a session, as its caller sent it. */
public sealed interface CallerStatement {

  /**
   * Begins a transaction.
   *
   * @param readOnly true if the transaction only reads
   */
  record Begin(boolean readOnly) implements CallerStatement {}

  /** Ends a transaction and keeps its effects. */
  record Commit() implements CallerStatement {}

  /** Ends a transaction and drops its effects. */
  record Rollback() implements CallerStatement {}

  /**
   * Reads.
   *
   * @param arguments what to read, passed on unchanged
   */
  record Read(String arguments) implements CallerStatement {
    /** Rejects null components. */
    public Read {
      Objects.requireNonNull(arguments, "arguments is null");
    }
  }

  /**
   * Writes.
   *
   * @param arguments what to write, passed on unchanged
   */
  record Write(String arguments) implements CallerStatement {
    /** Rejects null components. */
    public Write {
      Objects.requireNonNull(arguments, "arguments is null");
    }
  }

  /**
   * Sets a value of the session.
   *
   * @param name the name of the value
   * @param value the new value
   */
  record SetValue(String name, String value) implements CallerStatement {
    /** Rejects null components. */
    public SetValue {
      Objects.requireNonNull(name, "name is null");
      Objects.requireNonNull(value, "value is null");
    }
  }

  /**
   * Prepares a statement under a name.
   *
   * @param name the name, valid in this session
   * @param shape what the name stands for
   */
  record Prepare(String name, PreparedShape shape) implements CallerStatement {
    /** Rejects null components. */
    public Prepare {
      Objects.requireNonNull(name, "name is null");
      Objects.requireNonNull(shape, "shape is null");
    }
  }

  /**
   * Runs a prepared statement.
   *
   * @param name the name of the prepared statement
   * @param arguments its arguments, passed on unchanged
   */
  record Execute(String name, String arguments) implements CallerStatement {
    /** Rejects null components. */
    public Execute {
      Objects.requireNonNull(name, "name is null");
      Objects.requireNonNull(arguments, "arguments is null");
    }
  }

  /**
   * Forgets a prepared statement.
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
   * Stands for a text that is no statement.
   *
   * @param reason what is wrong with it
   */
  record Invalid(String reason) implements CallerStatement {
    /** Rejects null components. */
    public Invalid {
      Objects.requireNonNull(reason, "reason is null");
    }
  }
}
