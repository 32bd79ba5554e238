package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.admission.Admission;
import io.lycheejunction.core.admission.Ask;
import io.lycheejunction.core.admission.Lane;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.group.GroupWatch;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.TargetConnection;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** Opens transactions on primaries that this proxy holds, and ends those that were abandoned. */
final class LocalTransactions {
  private final HeldTargets targets;
  private final Peers peers;
  private final GroupWatch watch;
  private final RuntimeClock clock;
  private final CorrelationIds correlationIds;
  private final TransactionSteps steps;
  private final FinishedTransactions finished;
  private final Map<String, OpenTransaction> open = new ConcurrentHashMap<>();

  LocalTransactions(
      HeldTargets targets,
      Peers peers,
      GroupWatch watch,
      RuntimeClock clock,
      CorrelationIds correlationIds,
      TransactionSteps steps,
      FinishedTransactions finished) {
    this.targets = targets;
    this.peers = peers;
    this.watch = watch;
    this.clock = clock;
    this.correlationIds = correlationIds;
    this.steps = steps;
    this.finished = finished;
  }

  /** Returns the identifier of a new transaction on a held target, or {@code NOT_HOLDER}. */
  Result<TransactionId> begin(TransactionStart start, Deadline deadline) {
    if (peers.isLeaving(start.target())) {
      return Result.failure(ResultCode.TARGET_LEAVING, start.target());
    }
    return targets
        .find(start.group(), start.target())
        .flatMap(
            held ->
                steps
                    .confirm(start, deadline)
                    .flatMap(view -> held.session(ask(start, deadline)))
                    .flatMap(session -> begin(start, held, session, deadline)));
  }

  private Result<TransactionId> begin(
      TransactionStart start, HeldTarget held, Admission.Permit session, Deadline deadline) {
    Result<TargetConnection> connected = held.connect(deadline);
    if (connected.isEmpty()) {
      session.close();
    }
    return connected.flatMap(
        connection ->
            begin(
                new OpenTransaction(start, held, connection, session, clock.monotonicMs()),
                deadline));
  }

  private Result<TransactionId> begin(OpenTransaction transaction, Deadline deadline) {
    TransactionStart start = transaction.start();
    Result<TargetReply.Answered> begun =
        transaction
            .held()
            .callOn(
                transaction.connection(),
                ask(start, deadline),
                () -> lastCheck(start, deadline),
                connection -> connection.begin(start.term(), deadline.remainingMs()));
    if (begun instanceof Result.Failure<TargetReply.Answered> failure) {
      Fault fault = failure.fault();
      transaction.release(fault.isNotRun());
      return Result.failure(notBegun(fault));
    }
    String id = peers.self().name() + ":" + correlationIds.unguessable();
    open.put(id, transaction);
    return Result.success(new TransactionId(id));
  }

  private Optional<Fault> lastCheck(TransactionStart start, Deadline deadline) {
    if (peers.isLeaving(start.target())) {
      return Optional.of(Fault.of(ResultCode.TARGET_LEAVING, start.target()));
    }
    if (watch.mayAcknowledge(start.group(), start.term())) {
      return Optional.empty();
    }
    Result<GroupView> confirmed = steps.confirm(start, deadline);
    return confirmed.fold(Optional::of, view -> Optional.empty());
  }

  /** A start without an answer has no effect once its connection is closed. */
  private static Fault notBegun(Fault fault) {
    return fault.isNotRun()
        ? fault
        : Fault.of(ResultCode.ROLLED_BACK, "the start had no answer; its connection is closed");
  }

  /** Returns the answer to a step of a transaction that this proxy has opened. */
  Result<HeldAnswer> step(TransactionStep step, Deadline deadline) {
    OpenTransaction transaction = open.get(step.id());
    if (transaction == null) {
      return finished.answer(step);
    }
    if (!transaction.start().service().equals(step.service())) {
      return Result.failure(ResultCode.UNKNOWN_TRANSACTION, "the transaction is not open here");
    }
    if (!transaction.enter()) {
      return busy(step);
    }
    try {
      if (open.get(step.id()) != transaction) {
        return finished.answer(step);
      }
      return run(step, transaction, deadline);
    } finally {
      transaction.leave(clock.monotonicMs());
    }
  }

  private Result<HeldAnswer> run(
      TransactionStep step, OpenTransaction transaction, Deadline deadline) {
    TransactionSteps.Done done = steps.run(step, transaction, deadline);
    if (done.end() != TransactionSteps.End.OPEN) {
      finish(step.id(), transaction, done);
    }
    return done.result();
  }

  private void finish(String id, OpenTransaction transaction, TransactionSteps.Done done) {
    finished.add(id, transaction.start().service(), done.commitResult());
    open.remove(id);
    transaction.release(done.end() == TransactionSteps.End.CLEAN);
  }

  /** A commit that meets a running step may be a repeated one, whose outcome is not known yet. */
  private static Result<HeldAnswer> busy(TransactionStep step) {
    return step.action().kind() == TransactionStep.Kind.COMMIT
        ? Result.failure(ResultCode.UNKNOWN_OUTCOME, "a step of the transaction is running")
        : Result.failure(ResultCode.BAD_VALUE, "a step of the transaction is running");
  }

  /** Rolls back transactions that have been idle for longer than their limit. */
  void expire() {
    long nowMs = clock.monotonicMs();
    open.forEach(
        (id, transaction) -> {
          if (transaction.isIdle(nowMs)) {
            abandon(id, transaction);
          }
        });
  }

  /** Rolls back all transactions in which no step is running. */
  void abandonAll() {
    open.forEach(this::abandon);
  }

  int count() {
    return open.size();
  }

  private void abandon(String id, OpenTransaction transaction) {
    if (!transaction.enter()) {
      return;
    }
    try {
      if (open.get(id) == transaction) {
        finish(id, transaction, TransactionSteps.Done.abandoned());
      }
    } finally {
      transaction.leave(clock.monotonicMs());
    }
  }

  private static Ask ask(TransactionStart start, Deadline deadline) {
    return new Ask(
        start.service(), start.weight(), start.entryVm(), Lane.URGENT, deadline.remainingMs());
  }
}
