package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.admission.AdmissionController;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.TargetConnection;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** Runs transactions on primaries that this proxy holds, and rolls back those that stay idle. */
final class LocalTransactions {
  private final HeldTargets targets;
  private final Peers peers;
  private final GroupMonitor monitor;
  private final RuntimeClock clock;
  private final CorrelationIds correlationIds;
  private final TransactionSteps steps;
  private final FinishedTransactions finishedTransactions;
  private final Map<String, OpenTransaction> openTransactions = new ConcurrentHashMap<>();

  LocalTransactions(
      HeldTargets targets,
      Peers peers,
      GroupMonitor monitor,
      RuntimeClock clock,
      CorrelationIds correlationIds,
      TransactionSteps steps,
      FinishedTransactions finishedTransactions) {
    this.targets = targets;
    this.peers = peers;
    this.monitor = monitor;
    this.clock = clock;
    this.correlationIds = correlationIds;
    this.steps = steps;
    this.finishedTransactions = finishedTransactions;
  }

  /** Returns the identifier of a new transaction on a held target, or {@code NOT_HOLDER}. */
  Result<TransactionId> begin(BeginRequest request, Deadline deadline) {
    if (peers.isLeaving(request.target())) {
      return Result.failure(ResultCode.TARGET_LEAVING, request.target());
    }
    return targets
        .find(request.group(), request.target())
        .flatMap(
            held ->
                steps
                    .confirmPrimary(request, deadline)
                    .flatMap(
                        view -> held.acquireTransactionPermit(request.admissionRequest(deadline)))
                    .flatMap(permit -> begin(request, held, permit, deadline)));
  }

  private Result<TransactionId> begin(
      BeginRequest request, HeldTarget held, AdmissionController.Permit permit, Deadline deadline) {
    Result<TargetConnection> connected = held.connect(deadline);
    if (connected.isEmpty()) {
      permit.close();
    }
    return connected.flatMap(
        connection ->
            begin(
                new OpenTransaction(request, held, connection, permit, clock.monotonicMs()),
                deadline));
  }

  private Result<TransactionId> begin(OpenTransaction transaction, Deadline deadline) {
    BeginRequest request = transaction.beginRequest();
    Result<TargetReply.Answered> begun =
        transaction.call(
            deadline,
            () -> faultBeforeDispatch(request, deadline),
            connection -> connection.beginTransaction(request.term(), deadline.remainingMs()));
    if (begun instanceof Result.Failure<TargetReply.Answered> failure) {
      Fault fault = failure.fault();
      transaction.release(fault.isNotRun());
      return Result.failure(beginFault(fault));
    }
    String id = peers.self().name() + ":" + correlationIds.randomToken();
    openTransactions.put(id, transaction);
    return Result.success(new TransactionId(id));
  }

  private Optional<Fault> faultBeforeDispatch(BeginRequest request, Deadline deadline) {
    if (peers.isLeaving(request.target())) {
      return Optional.of(Fault.of(ResultCode.TARGET_LEAVING, request.target()));
    }
    if (monitor.mayAcknowledge(request.group(), request.term())) {
      return Optional.empty();
    }
    Result<GroupView> confirmed = steps.confirmPrimary(request, deadline);
    return confirmed.fold(Optional::of, view -> Optional.empty());
  }

  /** Maps an unknown outcome to a rollback: closing the connection undoes the start. */
  private static Fault beginFault(Fault fault) {
    return fault.isNotRun()
        ? fault
        : Fault.of(ResultCode.ROLLED_BACK, "the start had no answer; the connection was closed");
  }

  /** Returns the answer to a step of a transaction that this proxy has opened. */
  Result<HolderAnswer> step(TransactionStep step, Deadline deadline) {
    OpenTransaction transaction = openTransactions.get(step.id());
    if (transaction == null) {
      return finishedTransactions.answerFor(step);
    }
    if (!transaction.beginRequest().service().equals(step.service())) {
      return Result.failure(
          ResultCode.UNKNOWN_TRANSACTION, "the transaction is not open on this proxy");
    }
    if (!transaction.tryBeginStep()) {
      return stepInProgress(step);
    }
    try {
      if (openTransactions.get(step.id()) != transaction) {
        return finishedTransactions.answerFor(step);
      }
      return run(step, transaction, deadline);
    } finally {
      transaction.endStep(clock.monotonicMs());
    }
  }

  private Result<HolderAnswer> run(
      TransactionStep step, OpenTransaction transaction, Deadline deadline) {
    TransactionSteps.StepResult stepResult = steps.run(step, transaction, deadline);
    if (stepResult.state() != TransactionSteps.TransactionState.OPEN) {
      finish(step.id(), transaction, stepResult);
    }
    return stepResult.answer();
  }

  private void finish(
      String id, OpenTransaction transaction, TransactionSteps.StepResult stepResult) {
    finishedTransactions.add(
        id, transaction.beginRequest().service(), stepResult.laterCommitAnswer());
    openTransactions.remove(id);
    transaction.release(stepResult.state() == TransactionSteps.TransactionState.CLEAN);
  }

  /** A commit during another step may repeat a running commit, whose outcome is not known yet. */
  private static Result<HolderAnswer> stepInProgress(TransactionStep step) {
    return step.action().kind() == TransactionStep.Kind.COMMIT
        ? Result.failure(ResultCode.UNKNOWN_OUTCOME, "another step of the transaction is running")
        : Result.failure(ResultCode.BAD_VALUE, "another step of the transaction is running");
  }

  /** Rolls back transactions that have reached their idle limit. */
  void rollBackExpired() {
    long nowMs = clock.monotonicMs();
    openTransactions.forEach(
        (id, transaction) -> {
          if (transaction.isExpired(nowMs)) {
            rollBackIdle(id, transaction);
          }
        });
  }

  /** Rolls back all transactions in which no step is running. */
  void rollBackAllIdle() {
    openTransactions.forEach(this::rollBackIdle);
  }

  int openCount() {
    return openTransactions.size();
  }

  private void rollBackIdle(String id, OpenTransaction transaction) {
    if (!transaction.tryBeginStep()) {
      return;
    }
    try {
      if (openTransactions.get(id) == transaction) {
        finish(id, transaction, TransactionSteps.StepResult.rolledBackWhileIdle());
      }
    } finally {
      transaction.endStep(clock.monotonicMs());
    }
  }
}
