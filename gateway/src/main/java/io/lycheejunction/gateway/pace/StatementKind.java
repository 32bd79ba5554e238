package io.lycheejunction.gateway.pace;

import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.gateway.link.TargetCommand;
import java.util.Optional;

/** The kinds of work of a target, whose latencies are not comparable. */
public enum StatementKind {
  /** A read. */
  READ(true, false),
  /** A write, which may wait for a lock. */
  WRITE(true, true),
  /** A commit, which may wait for replicas. */
  COMMIT(true, true),
  /** The begin of a transaction, which a target answers without doing any work. */
  BEGIN(false, false),
  /** The opening of a connection, which takes a slot of the target for some milliseconds. */
  CONNECT(false, false);

  private final boolean measured;
  private final boolean mayWait;

  StatementKind(boolean measured, boolean mayWait) {
    this.measured = measured;
    this.mayWait = mayWait;
  }

  /** Returns whether the target may hold the answer back although it is not busy. */
  boolean mayWait() {
    return mayWait;
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
