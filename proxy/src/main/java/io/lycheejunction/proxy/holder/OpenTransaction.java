package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.admission.AdmissionController;
import io.lycheejunction.core.port.TargetConnection;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.Supplier;

/** An open transaction, pinned to one connection of a primary, which runs one step at a time. */
final class OpenTransaction {
  private final BeginRequest request;
  private final HeldTarget held;
  private final TargetConnection connection;
  private final AdmissionController.Permit permit;
  private final AtomicBoolean stepRunning = new AtomicBoolean();
  private volatile long lastUsedMs;

  OpenTransaction(
      BeginRequest request,
      HeldTarget held,
      TargetConnection connection,
      AdmissionController.Permit permit,
      long nowMs) {
    this.request = request;
    this.held = held;
    this.connection = connection;
    this.permit = permit;
    this.lastUsedMs = nowMs;
  }

  BeginRequest beginRequest() {
    return request;
  }

  /**
   * Returns the answer to a step that runs on the transaction's connection.
   *
   * @param deadline the deadline of the step
   * @param preDispatchCheck returns why the step must not be sent, once it has been admitted
   * @param step sends the step
   */
  Result<TargetReply.Answered> call(
      Deadline deadline,
      Supplier<Optional<Fault>> preDispatchCheck,
      Function<TargetConnection, TargetReply> step) {
    return held.callOnConnection(
        connection, request.admissionRequest(deadline), preDispatchCheck, step);
  }

  HeldTarget held() {
    return held;
  }

  TargetConnection connection() {
    return connection;
  }

  /**
   * Returns true if no other step is running; a call to {@link #endStep} must then end the step.
   */
  boolean tryBeginStep() {
    return stepRunning.compareAndSet(false, true);
  }

  void endStep(long nowMs) {
    lastUsedMs = nowMs;
    stepRunning.set(false);
  }

  boolean isExpired(long nowMs) {
    return nowMs - lastUsedMs >= request.idleLimitMs();
  }

  /** Returns the connection to the pool, closed unless its transaction is known to have ended. */
  void release(boolean transactionEnded) {
    if (!transactionEnded) {
      connection.close();
    }
    held.pool().release(connection);
    permit.close();
  }
}
