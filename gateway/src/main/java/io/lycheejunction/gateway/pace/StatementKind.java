package io.lycheejunction.gateway.pace;

import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.gateway.link.TargetCommand;
import java.util.Optional;

/** The kinds of work of a target, whose latencies are not comparable. */
public enum StatementKind {
  /** A read. */
  READ(true),
  /** A write. */
  WRITE(true),
  /** A commit, which may wait for replicas. */
  COMMIT(true),
  /** The begin of a transaction, which a target answers without doing any work. */
  BEGIN(false),
  /** The opening of a connection, which takes a slot of the target for some milliseconds. */
  CONNECT(false);

  private final boolean measured;

  StatementKind(boolean measured) {
    this.measured = measured;
  }

  /** Returns whether the latency of this kind tells how busy the target is. */
  boolean isMeasured() {
    return measured;
  }

  /**
   * Returns the kind of a command that runs a statement of a caller.
   *
   * @param command the command
   * @param writes whether the prepared statement writes, if the command executes one
   * @return the kind; empty for commands of the gateway itself, which are not limited
   */
  public static Optional<StatementKind> of(TargetCommand command, boolean writes) {
    if (!(command instanceof TargetCommand.Run run) || run.route().isEmpty()) {
      return Optional.empty();
    }
    return switch (run.statement()) {
      case CallerStatement.Begin begin -> Optional.of(BEGIN);
      case CallerStatement.Commit commit -> Optional.of(COMMIT);
      case CallerStatement.Write write -> Optional.of(WRITE);
      case CallerStatement.Execute execute -> Optional.of(writes ? WRITE : READ);
      case CallerStatement.Read read -> Optional.of(READ);
      default -> Optional.empty();
    };
  }
}
