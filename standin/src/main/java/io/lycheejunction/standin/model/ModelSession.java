package io.lycheejunction.standin.model;

import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.port.TargetRequest;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** An open session on an instance, as the instance sees it. */
public final class ModelSession {
  private static final long POLL_MS = 1;

  private static final class Transaction {
    private final long term;
    private final List<String> statements = new ArrayList<>();
    private final List<Statement.Write> writes = new ArrayList<>();

    Transaction(long term) {
      this.term = term;
    }
  }

  private final GroupModel group;
  private final Instance instance;
  private Transaction open;
  private int running;
  private long usedMs;

  ModelSession(GroupModel group, Instance instance) {
    this.group = group;
    this.instance = instance;
    this.usedMs = group.clock.monotonicMs();
  }

  /**
   * Returns whether the session was not used for a time.
   *
   * @param durationMs the time, in milliseconds
   * @return false while a statement runs on it
   */
  boolean isIdleFor(long durationMs) {
    synchronized (group.lock) {
      return running == 0 && group.clock.monotonicMs() - usedMs >= durationMs;
    }
  }

  private void used() {
    usedMs = group.clock.monotonicMs();
  }

  /**
   * Returns the reply to one statement, after its service time.
   *
   * @param request the statement
   * @return the reply
   * @throws InterruptedException if the thread is interrupted
   */
  public TargetReply execute(TargetRequest request) throws InterruptedException {
    Result<Statement> parsed = Statement.parse(request.statement());
    if (parsed instanceof Result.Failure<Statement> failure) {
      return new TargetReply.NotRun(failure.fault());
    }
    Statement statement = parsed.getOrElse(null);
    if (request.access() == Access.READ && statement instanceof Statement.Write) {
      return notRun(ResultCode.BAD_STATEMENT, "a read must not write");
    }
    Optional<TargetReply> refusal = takeSlot();
    if (refusal.isPresent()) {
      return refusal.get();
    }
    try {
      serve(statement, request.timeoutMs());
      synchronized (group.lock) {
        return run(request, statement);
      }
    } finally {
      releaseSlot();
    }
  }

  private Optional<TargetReply> takeSlot() {
    synchronized (group.lock) {
      if (!isOpen()) {
        return Optional.of(notRun(ResultCode.NO_CONNECTION, "the session is closed"));
      }
      if (instance.running >= group.limits().slots()) {
        return Optional.of(notRun(ResultCode.QUEUE_FULL, "no slot is free"));
      }
      instance.running++;
      running++;
      return Optional.empty();
    }
  }

  private void releaseSlot() {
    synchronized (group.lock) {
      instance.running--;
      running--;
      used();
    }
  }

  private void serve(Statement statement, long timeoutMs) throws InterruptedException {
    long serviceMs =
        group.limits().executeMs()
            + (statement instanceof Statement.Sleep(long durationMs) ? durationMs : 0);
    if (serviceMs > 0) {
      group.clock.sleepMs(serviceMs);
    }
    long untilMs = group.clock.monotonicMs() + timeoutMs;
    while (instancePaused() && group.clock.monotonicMs() < untilMs) {
      group.clock.sleepMs(POLL_MS);
    }
  }

  private boolean instancePaused() {
    synchronized (group.lock) {
      return instance.paused;
    }
  }

  private TargetReply run(TargetRequest request, Statement statement) {
    group.settled(instance.spec.name());
    if (!isOpen() || instance.paused) {
      return new TargetReply.Unknown("the connection was lost");
    }
    if (request.access() == Access.READ) {
      List<Statement.Write> writes = open == null ? List.of() : open.writes;
      return new TargetReply.Answered(
          instance.ledgers().read(statement, writes), instance.applied(), false);
    }
    if (!instance.isPrimaryOf(request.term())) {
      return notPrimary(request.term());
    }
    return open == null ? runAlone(request, statement) : runInside(request, statement);
  }

  private TargetReply runAlone(TargetRequest request, Statement statement) {
    List<String> statements = List.of(request.statement());
    Optional<TargetReply> recorded = recorded(request.key(), statements);
    if (recorded.isPresent()) {
      return recorded.get();
    }
    List<String> rows = instance.ledgers().read(statement, List.of());
    LogEntry entry = group.append(instance, statements, request.key(), rows, false);
    return new TargetReply.Answered(rows, entry.position(), false);
  }

  private TargetReply runInside(TargetRequest request, Statement statement) {
    if (request.term() != open.term) {
      return notPrimary(request.term());
    }
    open.statements.add(request.statement());
    if (statement instanceof Statement.Write write) {
      open.writes.add(write);
    }
    List<String> rows = instance.ledgers().read(statement, open.writes);
    return new TargetReply.Answered(rows, instance.applied(), false);
  }

  private Optional<TargetReply> recorded(Optional<String> key, List<String> statements) {
    return key.flatMap(instance.ledgers()::recorded)
        .map(
            entry -> {
              if (entry.cancels()) {
                return notRun(ResultCode.CANCELLED, "the key is cancelled");
              }
              return entry.statements().equals(statements)
                  ? new TargetReply.Answered(entry.rows(), entry.position(), true)
                  : notRun(ResultCode.KEY_REUSED, "the key is recorded for another statement");
            });
  }

  /**
   * Returns the reply to the start of a transaction.
   *
   * @param term the term in which the instance must be the primary
   * @return an answer without rows, or why none was started
   */
  public TargetReply begin(long term) {
    synchronized (group.lock) {
      group.settled(instance.spec.name());
      if (!isOpen()) {
        return notRun(ResultCode.NO_CONNECTION, "the session is closed");
      }
      if (open != null) {
        return notRun(ResultCode.BAD_STATEMENT, "a transaction is open");
      }
      if (!instance.isPrimaryOf(term)) {
        return notPrimary(term);
      }
      open = new Transaction(term);
      used();
      return done();
    }
  }

  /**
   * Returns the reply to the commit of the open transaction, which ends it in any case.
   *
   * @param key the idempotency key that is recorded in the transaction, if any
   * @return an answer with the commit's position, or why there is none
   */
  public TargetReply commit(Optional<String> key) {
    synchronized (group.lock) {
      group.settled(instance.spec.name());
      if (!isOpen() || open == null) {
        return notRun(ResultCode.UNKNOWN_TRANSACTION, "no transaction is open");
      }
      Transaction ending = open;
      open = null;
      if (!instance.isPrimaryOf(ending.term)) {
        return notPrimary(ending.term);
      }
      return recorded(key, ending.statements).orElseGet(() -> write(ending, key));
    }
  }

  private TargetReply write(Transaction ending, Optional<String> key) {
    if (ending.writes.isEmpty() && key.isEmpty()) {
      return done();
    }
    LogEntry entry = group.append(instance, ending.statements, key, List.of(), false);
    return new TargetReply.Answered(List.of(), entry.position(), false);
  }

  /**
   * Returns the reply to the rollback of the open transaction.
   *
   * @return an answer without rows, or why there is none
   */
  public TargetReply rollback() {
    synchronized (group.lock) {
      if (!isOpen() || open == null) {
        return notRun(ResultCode.UNKNOWN_TRANSACTION, "no transaction is open");
      }
      open = null;
      return done();
    }
  }

  /** Closes the session and rolls back what is open on it. */
  public void close() {
    synchronized (group.lock) {
      open = null;
      instance.sessions.remove(this);
    }
  }

  /**
   * Returns whether the instance still has the session.
   *
   * @return false once the session was closed or the instance crashed
   */
  public boolean isOpen() {
    synchronized (group.lock) {
      return instance.sessions.contains(this);
    }
  }

  private TargetReply done() {
    return new TargetReply.Answered(List.of(), instance.applied(), false);
  }

  private TargetReply notPrimary(long term) {
    return notRun(
        ResultCode.NOT_PRIMARY, instance.spec.name() + " is not the primary of term " + term);
  }

  private static TargetReply notRun(ResultCode code, String detail) {
    return new TargetReply.NotRun(Fault.of(code, detail));
  }
}
