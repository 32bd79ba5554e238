package io.lycheejunction.core.language;

import java.util.Objects;
import java.util.Optional;

/**
 * A statement with its optional version condition.
 *
 * @param statement the statement
 * @param ifVersion the configuration version that the statement requires, if any
 */
public record ConditionalStatement(Statement statement, Optional<Long> ifVersion) {
  /** Rejects null components. */
  public ConditionalStatement {
    Objects.requireNonNull(statement, "statement is null");
    Objects.requireNonNull(ifVersion, "ifVersion is null");
  }
}
