package io.lycheejunction.gateway.session;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Outcome;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.statement.PreparedStatement;
import io.lycheejunction.core.statement.SessionState;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.dispatch.Completion;
import io.lycheejunction.gateway.dispatch.SingleStatement;
import io.lycheejunction.gateway.dispatch.StatementRequest;
import io.lycheejunction.gateway.dispatch.Transaction;
import io.lycheejunction.gateway.link.CallerLink;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.route.RouteTable;
import io.lycheejunction.gateway.schedule.Scheduler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

/** A caller's session: its session variables, prepared statements and transaction. */
public final class CallerSession {
  /** The maximum number of queued statements; one more closes the session. */
  static final int MAX_QUEUED_STATEMENTS = 64;

  private record Query(
      String requestId, CallerStatement statement, Optional<ForwardedContext> forwarded) {}

  private final Gateway gateway;
  private final CallerLink link;
  private final String database;
  private final Credential credential;
  private final Origin origin;
  private final OperationQuota quota;
  private final Deque<Query> queue = new ArrayDeque<>();
  private SessionState state = SessionState.empty();
  private LogPosition lastCommit = LogPosition.ORIGIN;
  private Transaction transaction;
  private SingleStatement running;
  private Scheduler.Timer idleTimer;

  /** The organisation of the open transaction, whose key may be withdrawn meanwhile. */
  private Optional<String> transactionOrganisation = Optional.empty();

  private boolean busy;
  private boolean closed;

  /** Why the transaction was ended, until the caller is told. */
  private Optional<Fault> endedBecause = Optional.empty();

  /** True if the transaction is ended once its running statement is answered. */
  private boolean endsAfterStatement;

  /** True if the key was withdrawn, so that the session ends once its statement is answered. */
  private boolean unauthorized;

  CallerSession(
      Gateway gateway, CallerLink link, String database, Credential credential, Origin origin) {
    this.gateway = gateway;
    this.link = link;
    this.database = database;
    this.credential = credential;
    this.origin = origin;
    this.quota = new OperationQuota(gateway.quotas());
  }

  /**
   * Runs a statement. Statements are answered in the order in which they arrive.
   *
   * @param requestId the caller's identifier of the request
   * @param statement the statement
   */
  public void query(String requestId, CallerStatement statement) {
    accept(new Query(requestId, statement, Optional.empty()));
  }

  /**
   * Runs a statement that another VM forwards. Statements are answered in the order in which they
   * arrive.
   *
   * @param requestId the caller's identifier of the request
   * @param statement the statement
   * @param forwarded the route and the session's latest commit, as sent by the other VM
   */
  public void query(String requestId, CallerStatement statement, ForwardedContext forwarded) {
    accept(new Query(requestId, statement, Optional.of(forwarded)));
  }

  /** Clears session variables and prepared statements before the link serves another session. */
  public void reset() {
    state = SessionState.empty();
    link.setStateBytes(0);
    answerEmpty();
  }

  /** Runs the next statement if one waited only until earlier answers were sent. */
  public void resume() {
    if (!busy && !closed && !queue.isEmpty() && !link.isCongested()) {
      handle(queue.pollFirst());
    }
  }

  private void accept(Query query) {
    if (closed) {
      return;
    }
    if (busy || !queue.isEmpty() || link.isCongested()) {
      if (queue.size() >= MAX_QUEUED_STATEMENTS) {
        close();
        return;
      }
      queue.addLast(query);
      return;
    }
    handle(query);
  }

  /** Ends the session because its caller has disconnected, and rolls back an open transaction. */
  public void onDisconnect() {
    if (closed) {
      return;
    }
    closed = true;
    gateway.remove(this);
    stopIdleTimer();
    queue.clear();
    if (running != null) {
      running.cancel();
      quota.refundUnless(running.isSent());
    }
    if (transaction != null) {
      transaction.rollBack();
      quota.refundUnless(transaction.isBegun());
    }
  }

  boolean isEnded() {
    return closed;
  }

  /**
   * Returns whether the session is idle, so that closing it interrupts nothing.
   *
   * @return true if no statement runs or is queued and no transaction is open
   */
  boolean isIdle() {
    return !busy && transaction == null && queue.isEmpty();
  }

  boolean isForwarded() {
    return origin == Origin.VM;
  }

  /** Ends the session and closes its connection once pending answers are sent. */
  void close() {
    onDisconnect();
    link.close();
  }

  /** Decides whether the session's caller may use its database under a configuration. */
  Admission admission(RouteTable routes) {
    return SessionAdmission.of(routes, database, credential);
  }

  /** Returns whether a configuration contains the key of the session, if its route requires one. */
  boolean isAuthorized(RouteTable routes) {
    return !(admission(routes) instanceof Admission.Refused(Fault fault))
        || fault.code() == ResultCode.UNKNOWN_SERVICE;
  }

  /** Ends the session, since its key was withdrawn; a running statement is answered first. */
  void endUnauthorized() {
    if (busy) {
      unauthorized = true;
    } else {
      close();
    }
  }

  /** Fails the open transaction for the shutdown, once its running statement is answered. */
  void endTransactionForShutdown() {
    if (busy) {
      endsAfterStatement = true;
    } else {
      expireTransaction("this VM shuts down");
    }
  }

  private void expireTransaction(String cause) {
    if (transaction != null && !transaction.isFailed()) {
      endedBecause = Optional.of(Fault.of(ResultCode.ROLLED_BACK, cause));
      transaction.expire();
    }
  }

  private void handle(Query query) {
    busy = true;
    stopIdleTimer();
    query
        .forwarded()
        .flatMap(ForwardedContext::sessionCommit)
        .ifPresent(commit -> lastCommit = commit);
    if (transaction != null) {
      handleInTransaction(query);
    } else {
      handleOutsideTransaction(query);
    }
  }

  private void handleOutsideTransaction(Query query) {
    switch (query.statement()) {
      case CallerStatement.Begin begin -> begin(query, begin);
      case CallerStatement.Read read -> runSingle(query, Optional.empty());
      case CallerStatement.Write write -> runSingle(query, Optional.empty());
      case CallerStatement.Execute execute -> runPrepared(query, execute, this::runSingle);
      case CallerStatement.Commit commit -> refuse(notInTransaction());
      case CallerStatement.Rollback rollback -> refuse(notInTransaction());
      default -> handleLocally(query.statement());
    }
  }

  private void handleInTransaction(Query query) {
    CallerStatement statement = query.statement();
    if (statement instanceof CallerStatement.Rollback) {
      endTransaction();
      answerEmpty();
      return;
    }
    if (transaction.isFailed()) {
      handleInFailedTransaction(statement);
      return;
    }
    switch (statement) {
      case CallerStatement.Read read -> runInTransaction(query, Optional.empty());
      case CallerStatement.Write write -> runInTransaction(query, Optional.empty());
      case CallerStatement.Commit commit -> runInTransaction(query, Optional.empty());
      case CallerStatement.Execute execute -> runPrepared(query, execute, this::runInTransaction);
      case CallerStatement.Begin begin ->
          refuse(Fault.of(ResultCode.BAD_STATEMENT, "a transaction is open already"));
      default -> handleLocally(statement);
    }
  }

  private void handleInFailedTransaction(CallerStatement statement) {
    Optional<Fault> untold = endedBecause;
    endedBecause = Optional.empty();
    if (statement instanceof CallerStatement.Commit) {
      endTransaction();
      refuse(Fault.of(ResultCode.ROLLED_BACK, "the transaction had failed before the commit"));
      return;
    }
    refuse(untold.orElse(Fault.of(ResultCode.TRANSACTION_FAILED, "the transaction has failed")));
  }

  private void handleLocally(CallerStatement statement) {
    switch (LocalResult.of(state, statement)) {
      case LocalResult.Changed changed -> {
        state = changed.state();
        link.setStateBytes(state.sizeBytes());
        answerEmpty();
      }
      case LocalResult.Refused refused -> refuse(refused.fault());
    }
  }

  private void begin(Query query, CallerStatement.Begin begin) {
    switch (gateway.admit(this, origin, query.forwarded())) {
      case Admission.Admitted admitted -> {
        transactionOrganisation = admitted.organisation();
        quota.startOperation();
        transaction = new Transaction(gateway.dispatch(), admitted.route(), begin.readOnly());
        answerEmpty();
      }
      case Admission.Refused refused -> refuse(refused.fault());
    }
  }

  private void runPrepared(
      Query query,
      CallerStatement.Execute execute,
      BiConsumer<Query, Optional<PreparedStatement>> run) {
    Optional<PreparedStatement> preparedStatement = state.preparedStatement(execute.name());
    if (preparedStatement.isEmpty()) {
      refuse(LocalResult.unknownPrepared(execute.name()));
      return;
    }
    run.accept(query, preparedStatement);
  }

  private void runSingle(Query query, Optional<PreparedStatement> preparedStatement) {
    switch (gateway.admit(this, origin, query.forwarded())) {
      case Admission.Admitted admitted -> runAdmitted(query, preparedStatement, admitted);
      case Admission.Refused refused -> refuse(refused.fault());
    }
  }

  private void runAdmitted(
      Query query, Optional<PreparedStatement> preparedStatement, Admission.Admitted admitted) {
    StatementRequest request =
        new StatementRequest(
            query.requestId(),
            admitted.organisation(),
            admitted.route(),
            state,
            lastCommit,
            query.statement(),
            preparedStatement,
            isForwarded());
    SingleStatement statement =
        new SingleStatement(gateway.dispatch(), request, new SingleCompletion(request));
    quota.startOperation();
    whenAllowed(
        request,
        () -> {
          running = statement;
          statement.start();
        });
  }

  /** Starts an operation once its organisation has quota for it, or refuses it. */
  private void whenAllowed(StatementRequest request, Runnable start) {
    quota.admit(
        request.organisation(),
        gateway.dispatch().isDirect(request, transaction != null),
        refusal -> {
          if (closed) {
            quota.refundUnless(false);
          } else if (unauthorized) {
            quota.refundUnless(false);
            refuse(Fault.of(ResultCode.WRONG_CREDENTIAL, "the key was withdrawn"));
          } else if (refusal.isPresent()) {
            if (transaction != null) {
              transaction.expire();
            }
            refuse(refusal.get());
          } else {
            start.run();
          }
        });
  }

  private void runInTransaction(Query query, Optional<PreparedStatement> preparedStatement) {
    StatementRequest request =
        new StatementRequest(
            query.requestId(),
            transactionOrganisation,
            transaction.route(),
            state,
            lastCommit,
            query.statement(),
            preparedStatement,
            isForwarded());
    Runnable start = () -> transaction.run(request, new TransactionCompletion(request));
    if (quota.isCounted()) {
      start.run();
    } else {
      whenAllowed(request, start);
    }
  }

  private void endTransaction() {
    Transaction ended = transaction;
    transaction = null;
    ended.rollBack();
  }

  private void answerEmpty() {
    link.answer(List.of(), Optional.empty(), transactionState(), Optional.empty());
    runNext();
  }

  private void refuse(Fault fault) {
    link.refuse(fault, transactionState());
    runNext();
  }

  private TransactionState transactionState() {
    return transaction == null ? TransactionState.NONE : transaction.state();
  }

  private void runNext() {
    busy = false;
    running = null;
    if (closed) {
      return;
    }
    if (endsAfterStatement) {
      endsAfterStatement = false;
      expireTransaction("this VM shuts down");
    }
    if (unauthorized) {
      close();
      return;
    }
    if (!queue.isEmpty() && !link.isCongested()) {
      handle(queue.pollFirst());
      return;
    }
    if (transaction != null) {
      startIdleTimer();
    }
    gateway.onIdle(this);
  }

  private void startIdleTimer() {
    long idleMs = gateway.idleTransactionMs();
    if (idleMs > 0) {
      idleTimer =
          gateway
              .dispatch()
              .scheduler()
              .schedule(idleMs, () -> expireTransaction("the transaction was idle for too long"));
    }
  }

  private void stopIdleTimer() {
    if (idleTimer != null) {
      idleTimer.cancel();
      idleTimer = null;
    }
  }

  private void updateLastCommit(LinkReply reply) {
    reply.position().ifPresent(position -> lastCommit = lastCommit.max(position));
  }

  private static Fault notInTransaction() {
    return Fault.of(ResultCode.BAD_STATEMENT, "no transaction is open");
  }

  /** A target that refuses a statement, since it is busy for example, promises not to run it. */
  private static boolean mayHaveRun(Fault fault) {
    return fault.code().outcome() != Outcome.REFUSED_NOT_RUN;
  }

  private final class SingleCompletion implements Completion {
    private final StatementRequest request;

    private SingleCompletion(StatementRequest request) {
      this.request = request;
    }

    @Override
    public void done(LinkReply reply) {
      quota.recordOutcome(request.organisation(), Optional.empty());
      if (request.writes()) {
        updateLastCommit(reply);
      }
      link.answer(reply.rows(), reply.signature(), TransactionState.NONE, reply.position());
      runNext();
    }

    @Override
    public void failed(Fault fault) {
      quota.recordOutcome(request.organisation(), Optional.of(fault));
      quota.refundUnless(running.isSent() && mayHaveRun(fault));
      refuse(fault);
    }
  }

  private final class TransactionCompletion implements Completion {
    private final StatementRequest request;

    private TransactionCompletion(StatementRequest request) {
      this.request = request;
    }

    @Override
    public void done(LinkReply reply) {
      quota.recordOutcome(request.organisation(), reply.fault());
      boolean commit = request.statement() instanceof CallerStatement.Commit;
      if (reply.state() == TransactionState.NONE) {
        transaction = null;
      }
      if (commit && reply.isDone()) {
        updateLastCommit(reply);
      }
      if (reply.fault().isPresent()) {
        refuse(reply.fault().get());
        return;
      }
      link.answer(reply.rows(), reply.signature(), transactionState(), reply.position());
      runNext();
    }

    @Override
    public void failed(Fault fault) {
      quota.recordOutcome(request.organisation(), Optional.of(fault));
      if (transaction != null) {
        quota.refundUnless(transaction.isBegun());
      }
      if (request.statement() instanceof CallerStatement.Commit) {
        transaction = null;
      }
      refuse(fault);
    }
  }
}
