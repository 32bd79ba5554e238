package io.lycheejunction.gateway.pool;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.statement.PreparedShape;
import io.lycheejunction.core.statement.SessionState;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TargetLink;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One connection to a target, with what it has been set up with.
 *
 * <p>Statements of different sessions run on it in turn. Before each, the connection gets the
 * values of the session. Prepared statements get names of the gateway's own, so that equal shapes
 * are prepared once and names of different sessions can't collide.
 */
public final class PooledLink {
  private static final Consumer<LinkResult> SETUP = result -> {};

  private final TargetPool pool;
  private final Deque<Consumer<LinkResult>> waiting = new ArrayDeque<>();
  private final Map<PreparedShape, String> prepared = new HashMap<>();
  private Map<String, String> values = Map.of();
  private TargetLink link;
  private boolean open;
  private boolean closed;
  private long idleSinceMs;

  PooledLink(TargetPool pool) {
    this.pool = pool;
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
   * Sends a command after setting the connection up for a session.
   *
   * @param session the state of the session that the command belongs to
   * @param command the command
   * @param done is told the result
   */
  public void run(SessionState session, TargetCommand command, Consumer<LinkResult> done) {
    List<TargetCommand> batch = setUp(session);
    addCommand(batch, command, done);
    link.send(batch);
  }

  /**
   * Sends a command and, in the same write, a second one that ends its transaction.
   *
   * @param session the state of the session that the command belongs to
   * @param command the command
   * @param done is told the result of the command
   */
  public void runAndRollBack(
      SessionState session, TargetCommand command, Consumer<LinkResult> done) {
    List<TargetCommand> batch = setUp(session);
    addCommand(batch, command, done);
    addSetup(batch, TargetCommand.own(new CallerStatement.Rollback()));
    link.send(batch);
  }

  /**
   * Sends a prepared statement under the gateway's own name for its shape.
   *
   * @param session the state of the session that the statement belongs to
   * @param shape the shape of the statement
   * @param command makes the command from the name that the connection knows
   * @param done is told the result
   */
  public void runPrepared(
      SessionState session,
      PreparedShape shape,
      PreparedCommand command,
      Consumer<LinkResult> done) {
    List<TargetCommand> batch = setUp(session);
    addCommand(batch, command.withName(nameOf(shape, batch)), done);
    if (command.endsTransaction()) {
      addSetup(batch, TargetCommand.own(new CallerStatement.Rollback()));
    }
    link.send(batch);
  }

  /** Ends an open transaction without keeping its effects, and gives the connection back. */
  public void rollBackAndRelease() {
    if (closed) {
      pool.release(this);
      return;
    }
    List<TargetCommand> batch = new ArrayList<>(1);
    addSetup(batch, TargetCommand.own(new CallerStatement.Rollback()));
    link.send(batch);
    pool.release(this);
  }

  /** Gives the connection back; it is used again once all its commands are answered. */
  public void release() {
    pool.release(this);
  }

  /**
   * Closes the connection, since its state is unknown or nobody waits for its answer any more.
   *
   * @param cause why
   */
  public void abandon(Fault cause) {
    if (closed) {
      return;
    }
    link.close();
    onClosed(cause);
  }

  /**
   * Returns whether the connection has ended.
   *
   * @return true if so
   */
  public boolean isClosed() {
    return closed;
  }

  boolean isOpen() {
    return open && !closed;
  }

  boolean isQuiet() {
    return waiting.isEmpty();
  }

  boolean isSetUpFor(SessionState session) {
    return values.equals(session.values());
  }

  long idleSinceMs() {
    return idleSinceMs;
  }

  void idleSince(long nowMs) {
    idleSinceMs = nowMs;
  }

  void attach(TargetLink opening) {
    link = opening;
  }

  void onOpened() {
    open = true;
  }

  void onReplied(LinkReply reply) {
    Consumer<LinkResult> consumer = waiting.pollFirst();
    if (consumer == null) {
      abandon(Fault.of(ResultCode.TARGET_UNREACHABLE, "answer without a command"));
      return;
    }
    if (consumer != SETUP) {
      consumer.accept(new LinkResult.Replied(reply));
    } else if (!reply.isDone()) {
      abandon(Fault.of(ResultCode.TARGET_UNREACHABLE, "setting up the connection failed"));
    }
    if (!closed && waiting.isEmpty()) {
      pool.onQuiet(this);
    }
  }

  void onClosed(Fault cause) {
    if (closed) {
      return;
    }
    closed = true;
    pool.onClosed(this, cause);
    while (!waiting.isEmpty()) {
      waiting.pollFirst().accept(new LinkResult.Lost(cause));
    }
  }

  private List<TargetCommand> setUp(SessionState session) {
    List<TargetCommand> batch = new ArrayList<>();
    Map<String, String> wanted = session.values();
    if (values.equals(wanted)) {
      return batch;
    }
    if (!wanted.keySet().containsAll(values.keySet())) {
      addSetup(batch, new TargetCommand.Reset());
      prepared.clear();
      values = Map.of();
    }
    for (Map.Entry<String, String> value : wanted.entrySet()) {
      if (!value.getValue().equals(values.get(value.getKey()))) {
        addSetup(
            batch,
            TargetCommand.own(new CallerStatement.SetValue(value.getKey(), value.getValue())));
      }
    }
    values = wanted;
    return batch;
  }

  private String nameOf(PreparedShape shape, List<TargetCommand> batch) {
    String known = prepared.get(shape);
    if (known != null) {
      return known;
    }
    String name = "p" + prepared.size();
    prepared.put(shape, name);
    addSetup(batch, TargetCommand.own(new CallerStatement.Prepare(name, shape)));
    return name;
  }

  private void addSetup(List<TargetCommand> batch, TargetCommand command) {
    addCommand(batch, command, SETUP);
  }

  private void addCommand(
      List<TargetCommand> batch, TargetCommand command, Consumer<LinkResult> done) {
    batch.add(command);
    waiting.addLast(done);
  }
}
