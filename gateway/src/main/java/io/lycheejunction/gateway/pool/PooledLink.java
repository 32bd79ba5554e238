package io.lycheejunction.gateway.pool;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.statement.PreparedStatement;
import io.lycheejunction.core.statement.SessionState;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TargetLink;
import io.lycheejunction.gateway.pace.SentStatement;
import io.lycheejunction.gateway.pace.StatementKind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A pooled connection to a target, with the session state that is set up on it.
 *
 * <p>Statements of different sessions share the connection. Before each statement, the connection
 * is set to the values of its session. The gateway names the prepared statements itself, so that
 * equal statements are prepared once and names of different sessions can't collide.
 */
public final class PooledLink {
  private static final Consumer<LinkResult> SETUP_COMMAND = result -> {};

  private final TargetPool pool;
  private final Optional<String> organisation;
  private final SentStatement opening;
  private final Deque<PendingCommand> pending = new ArrayDeque<>();
  private final Map<PreparedStatement, String> preparedNames = new HashMap<>();
  private Map<String, String> sessionValues = Map.of();
  private TargetLink link;
  private boolean open;
  private boolean closed;
  private long idleSinceMs;
  private long busySinceMs;

  /** A command without an answer; {@code statement} is empty unless it is a caller's. */
  private record PendingCommand(Consumer<LinkResult> consumer, Optional<SentStatement> statement) {}

  PooledLink(TargetPool pool, Optional<String> organisation) {
    this.pool = pool;
    this.organisation = organisation;
    this.opening = pool.pace().sent(StatementKind.CONNECT);
  }

  /**
   * Returns the pool that the connection belongs to.
   *
   * @return the pool
   */
  public TargetPool pool() {
    return pool;
  }

  /**
   * Sends a command, preceded by the commands that set the connection up for its session.
   *
   * @param session the state of the session that the command belongs to
   * @param command the command
   * @param done receives the result
   */
  public void run(SessionState session, TargetCommand command, Consumer<LinkResult> done) {
    List<TargetCommand> batch = startBatch(session);
    addCommand(batch, command, done);
    link.send(batch);
  }

  /**
   * Sends a command and, in the same write, a rollback of its transaction.
   *
   * @param session the state of the session that the command belongs to
   * @param command the command
   * @param done receives the result of the command
   */
  public void runAndRollBack(
      SessionState session, TargetCommand command, Consumer<LinkResult> done) {
    List<TargetCommand> batch = startBatch(session);
    addCommand(batch, command, done);
    addSetup(batch, TargetCommand.ofGateway(new CallerStatement.Rollback()));
    link.send(batch);
  }

  /**
   * Executes a prepared statement, and prepares it first if the connection lacks it.
   *
   * @param session the state of the session that the statement belongs to
   * @param preparedStatement the text of the prepared statement and whether it writes
   * @param command the execution, which lacks the name of the prepared statement
   * @param done receives the result
   */
  public void runPrepared(
      SessionState session,
      PreparedStatement preparedStatement,
      PreparedCommand command,
      Consumer<LinkResult> done) {
    List<TargetCommand> batch = startBatch(session);
    TargetCommand named = command.withName(preparedNameOf(preparedStatement, batch));
    addCommand(batch, named, preparedStatement.writes(), done);
    if (command.endsTransaction()) {
      addSetup(batch, TargetCommand.ofGateway(new CallerStatement.Rollback()));
    }
    link.send(batch);
  }

  /** Rolls back the open transaction and returns the connection to the pool. */
  public void rollBackAndRelease() {
    if (closed) {
      pool.release(this);
      return;
    }
    List<TargetCommand> batch = new ArrayList<>(1);
    addSetup(batch, TargetCommand.ofGateway(new CallerStatement.Rollback()));
    link.send(batch);
    pool.release(this);
  }

  /** Returns the connection to the pool, which reuses it once all its commands are answered. */
  public void release() {
    pool.release(this);
  }

  /**
   * Closes the connection, since its state is unknown or its answers are no longer needed.
   *
   * @param cause the reason, which pending commands receive as their result
   */
  public void abandon(Fault cause) {
    if (closed) {
      return;
    }
    link.close();
    onClosed(cause);
  }

  void abandonUnlessOpen(String targetId) {
    if (!isOpen()) {
      abandon(
          Fault.of(
              ResultCode.TARGET_UNREACHABLE, "no greeting within the time limit from " + targetId));
    }
  }

  /**
   * Returns whether the connection is closed.
   *
   * @return true if so
   */
  public boolean isClosed() {
    return closed;
  }

  boolean isOpen() {
    return open && !closed;
  }

  boolean hasNoPendingCommands() {
    return pending.isEmpty();
  }

  boolean isSetUpFor(SessionState session) {
    return sessionValues.equals(session.variables());
  }

  /** Returns the organisation that the connection was opened for, or empty for none. */
  Optional<String> organisation() {
    return organisation;
  }

  long busySinceMs() {
    return busySinceMs;
  }

  void setBusySince(long nowMs) {
    busySinceMs = nowMs;
  }

  long idleSinceMs() {
    return idleSinceMs;
  }

  void setIdleSince(long nowMs) {
    idleSinceMs = nowMs;
  }

  void attach(TargetLink opened) {
    link = opened;
  }

  void onOpened() {
    if (!open && !closed) {
      pool.pace().lost(opening);
    }
    open = true;
  }

  void onReplied(LinkReply reply) {
    PendingCommand answered = pending.pollFirst();
    if (answered == null) {
      abandon(
          Fault.of(ResultCode.TARGET_UNREACHABLE, "received an answer without a pending command"));
      return;
    }
    answered.statement().ifPresent(sent -> pool.pace().answered(sent, reply.fault()));
    Consumer<LinkResult> consumer = answered.consumer();
    if (consumer != SETUP_COMMAND) {
      consumer.accept(new LinkResult.Replied(reply));
    } else if (!reply.isDone()) {
      abandon(
          Fault.of(
              ResultCode.TARGET_UNREACHABLE, "setting the connection up for a session failed"));
    }
    if (!closed && pending.isEmpty()) {
      pool.onAllAnswered(this);
    }
    pool.serveWaiting();
  }

  void onClosed(Fault cause) {
    if (closed) {
      return;
    }
    closed = true;
    if (!open) {
      pool.pace().lost(opening);
    }
    pending.forEach(command -> command.statement().ifPresent(pool.pace()::lost));
    pool.onClosed(this, cause);
    while (!pending.isEmpty()) {
      pending.pollFirst().consumer().accept(new LinkResult.Lost(cause));
    }
    pool.serveWaiting();
  }

  private List<TargetCommand> startBatch(SessionState session) {
    List<TargetCommand> batch = new ArrayList<>();
    Map<String, String> requiredValues = session.variables();
    if (sessionValues.equals(requiredValues)) {
      return batch;
    }
    if (!requiredValues.keySet().containsAll(sessionValues.keySet())) {
      addSetup(batch, new TargetCommand.Reset());
      preparedNames.clear();
      sessionValues = Map.of();
    }
    for (Map.Entry<String, String> value : requiredValues.entrySet()) {
      if (!value.getValue().equals(sessionValues.get(value.getKey()))) {
        addSetup(
            batch,
            TargetCommand.ofGateway(
                new CallerStatement.SetVariable(value.getKey(), value.getValue())));
      }
    }
    sessionValues = requiredValues;
    return batch;
  }

  private String preparedNameOf(PreparedStatement preparedStatement, List<TargetCommand> batch) {
    String known = preparedNames.get(preparedStatement);
    if (known != null) {
      return known;
    }
    String name = "p" + preparedNames.size();
    preparedNames.put(preparedStatement, name);
    addSetup(batch, TargetCommand.ofGateway(new CallerStatement.Prepare(name, preparedStatement)));
    return name;
  }

  private void addSetup(List<TargetCommand> batch, TargetCommand command) {
    addCommand(batch, command, SETUP_COMMAND);
  }

  private void addCommand(
      List<TargetCommand> batch, TargetCommand command, Consumer<LinkResult> done) {
    addCommand(batch, command, false, done);
  }

  private void addCommand(
      List<TargetCommand> batch,
      TargetCommand command,
      boolean preparedWrites,
      Consumer<LinkResult> done) {
    batch.add(command);
    Optional<SentStatement> statement =
        StatementKind.of(command, preparedWrites).map(pool.pace()::sent);
    pending.addLast(new PendingCommand(done, statement));
  }
}
