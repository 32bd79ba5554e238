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

/** The instance side of a session. */
public final class ModelSession {
  private static final long PAUSED_POLL_MS = 1;

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
  private Transaction openTransaction;
  private int runningStatements;
  private long lastUsedMs;

  ModelSession(GroupModel group, Instance instance) {
    this.group = group;
    this.instance = instance;
    this.lastUsedMs = group.clock.monotonicMs();
  }

  /**
   * Returns whether the session has been idle for at least the duration.
   *
   * @param durationMs the duration, in milliseconds
   * @return false while a statement runs on the session
   */
  boolean isIdleFor(long durationMs) {
    synchronized (group.lock) {
      return runningStatements == 0 && group.clock.monotonicMs() - lastUsedMs >= durationMs;
    }
  }

  private void markUsed() {
    lastUsedMs = group.clock.monotonicMs();
  }

  /**
   * Returns the reply to a statement, after its service time.
   *
   * @param request the statement and how to run it
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
      return notRun(ResultCode.BAD_STATEMENT, "a statement with read access must not write");
    }
    Optional<TargetReply> refusal = acquireSlot();
    if (refusal.isPresent()) {
      return refusal.get();
    }
    try {
      awaitServiceTime(statement, request.timeoutMs());
      synchronized (group.lock) {
        return run(request, statement);
      }
    } finally {
      releaseSlot();
    }
  }

  private Optional<TargetReply> acquireSlot() {
    synchronized (group.lock) {
      if (!isOpen()) {
        return Optional.of(notRun(ResultCode.NO_CONNECTION, "the session is closed"));
      }
      if (instance.runningStatements >= group.limits().slots()) {
        return Optional.of(notRun(ResultCode.QUEUE_FULL, "no statement slot is free"));
      }
      instance.runningStatements++;
      runningStatements++;
      return Optional.empty();
    }
  }

  private void releaseSlot() {
    synchronized (group.lock) {
      instance.runningStatements--;
      runningStatements--;
      markUsed();
    }
  }

  private void awaitServiceTime(Statement statement, long timeoutMs) throws InterruptedException {
    long serviceMs =
        group.limits().executeMs()
            + (statement instanceof Statement.Sleep(long durationMs) ? durationMs : 0);
    if (serviceMs > 0) {
      group.clock.sleepMs(serviceMs);
    }
    long deadlineMs = group.clock.monotonicMs() + timeoutMs;
    while (isInstancePaused() && group.clock.monotonicMs() < deadlineMs) {
      group.clock.sleepMs(PAUSED_POLL_MS);
    }
  }

  private boolean isInstancePaused() {
    synchronized (group.lock) {
      return instance.paused;
    }
  }

  private TargetReply run(TargetRequest request, Statement statement) {
    group.upToDateInstance(instance.spec.name());
    if (!isOpen() || instance.paused) {
      return new TargetReply.Unknown("the connection was lost");
    }
    if (request.access() == Access.READ) {
      List<Statement.Write> writes = openTransaction == null ? List.of() : openTransaction.writes;
      return new TargetReply.Answered(
          instance.ledgers().read(statement, writes), instance.applied(), false);
    }
    if (!instance.isPrimaryOf(request.term())) {
      return notPrimary(request.term());
    }
    return openTransaction == null
        ? runAutoCommit(request, statement)
        : runInTransaction(request, statement);
  }

  private TargetReply runAutoCommit(TargetRequest request, Statement statement) {
    List<String> statements = List.of(request.statement());
    Optional<TargetReply> recorded = recordedReply(request.key(), statements);
    if (recorded.isPresent()) {
      return recorded.get();
    }
    List<String> rows = instance.ledgers().read(statement, List.of());
    LogEntry entry = group.append(instance, statements, request.key(), rows, false);
    return new TargetReply.Answered(rows, entry.position(), false);
  }

  private TargetReply runInTransaction(TargetRequest request, Statement statement) {
    if (request.term() != openTransaction.term) {
      return notPrimary(request.term());
    }
    openTransaction.statements.add(request.statement());
    if (statement instanceof Statement.Write write) {
      openTransaction.writes.add(write);
    }
    List<String> rows = instance.ledgers().read(statement, openTransaction.writes);
    return new TargetReply.Answered(rows, instance.applied(), false);
  }

  private Optional<TargetReply> recordedReply(Optional<String> key, List<String> statements) {
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
   * Starts a transaction.
   *
   * @param term the term in which the instance must be the primary
   * @return an answer without rows, or the reason why no transaction was started
   */
  public TargetReply begin(long term) {
    synchronized (group.lock) {
      group.upToDateInstance(instance.spec.name());
      if (!isOpen()) {
        return notRun(ResultCode.NO_CONNECTION, "the session is closed");
      }
      if (openTransaction != null) {
        return notRun(ResultCode.BAD_STATEMENT, "a transaction is open");
      }
      if (!instance.isPrimaryOf(term)) {
        return notPrimary(term);
      }
      openTransaction = new Transaction(term);
      markUsed();
      return emptyReply();
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
      group.upToDateInstance(instance.spec.name());
      if (!isOpen() || openTransaction == null) {
        return notRun(ResultCode.UNKNOWN_TRANSACTION, "no transaction is open");
      }
      Transaction transaction = openTransaction;
      openTransaction = null;
      if (!instance.isPrimaryOf(transaction.term)) {
        return notPrimary(transaction.term);
      }
      return recordedReply(key, transaction.statements)
          .orElseGet(() -> appendTransaction(transaction, key));
    }
  }

  private TargetReply appendTransaction(Transaction transaction, Optional<String> key) {
    if (transaction.writes.isEmpty() && key.isEmpty()) {
      return emptyReply();
    }
    LogEntry entry = group.append(instance, transaction.statements, key, List.of(), false);
    return new TargetReply.Answered(List.of(), entry.position(), false);
  }

  /**
   * Rolls back the open transaction.
   *
   * @return an answer without rows, or {@code UNKNOWN_TRANSACTION}
   */
  public TargetReply rollback() {
    synchronized (group.lock) {
      if (!isOpen() || openTransaction == null) {
        return notRun(ResultCode.UNKNOWN_TRANSACTION, "no transaction is open");
      }
      openTransaction = null;
      return emptyReply();
    }
  }

  /** Closes the session and rolls back its open transaction, if any. */
  public void close() {
    synchronized (group.lock) {
      openTransaction = null;
      instance.sessions.remove(this);
    }
  }

  /**
   * Returns whether the session is open.
   *
   * @return false after the session was closed or the instance crashed
   */
  public boolean isOpen() {
    synchronized (group.lock) {
      return instance.sessions.contains(this);
    }
  }

  private TargetReply emptyReply() {
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
