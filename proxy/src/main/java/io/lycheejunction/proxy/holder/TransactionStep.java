package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.port.Access;
import java.util.Objects;
import java.util.Optional;

/**
 * A request inside an open transaction.
 *
 * @param id the transaction's identifier, see {@link TransactionId}
 * @param service the caller's service, which must be the one that started the transaction
 * @param action the statement, commit or rollback to run
 * @param remainingMs the time that remains to the request's deadline, in milliseconds
 */
public record TransactionStep(String id, String service, Action action, long remainingMs) {

  /**
   * The action of a step.
   *
   * @param kind the kind of step
   * @param access whether a statement is declared as a read or a write; {@code READ} for other
   *     kinds
   * @param statement the text of a statement, empty for other kinds
   * @param key the idempotency key of a commit, if any
   */
  public record Action(Kind kind, Access access, String statement, Optional<String> key) {
    /** Rejects null components. */
    public Action {
      Objects.requireNonNull(kind, "kind is null");
      Objects.requireNonNull(access, "access is null");
      Objects.requireNonNull(statement, "statement is null");
      Objects.requireNonNull(key, "key is null");
    }
  }

  /** The kinds of steps. */
  public enum Kind {
    /** Runs a statement. */
    STATEMENT,
    /** Commits. */
    COMMIT,
    /** Rolls back. */
    ROLLBACK
  }

  /** Rejects null components. */
  public TransactionStep {
    Objects.requireNonNull(id, "id is null");
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(action, "action is null");
  }
}
