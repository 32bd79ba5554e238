package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.admission.AdmissionController;
import io.lycheejunction.core.admission.AdmissionRequest;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.port.TargetConnection;
import io.lycheejunction.core.port.TargetPort;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.function.Supplier;

/**
 * A target whose connection pool this proxy holds.
 *
 * <p>The number of statements that run at once (slots) and the number of open connections have
 * separate limits. Transactions pin connections; their number is limited so that some connections
 * remain for single statements.
 */
final class HeldTarget {
  private final String group;
  private final TargetSpec spec;
  private final GroupMonitor monitor;
  private final HolderMetrics metrics;
  private final long connectTimeoutMs;
  private final AdmissionController slots;
  private final AdmissionController transactionPermits;
  private final TargetPool pool;
  private final TargetCircuitBreaker breaker;
  private final AtomicReference<LogPosition> latestPosition =
      new AtomicReference<>(LogPosition.ORIGIN);
  private final AtomicLong answerCount = new AtomicLong();
  private final CoalescedCall<TargetStatus> statusCall;
  private final long heldSinceMs;
  private final RuntimeClock clock;
  private volatile PoolLimits limits;
  private volatile long noCatchUpWaitUntilMs = Long.MIN_VALUE;

  HeldTarget(
      String group,
      TargetSpec spec,
      PoolLimits limits,
      TargetPort port,
      GroupMonitor monitor,
      RuntimeClock clock,
      HolderSettings settings,
      HolderMetrics metrics) {
    this.group = group;
    this.spec = spec;
    this.limits = limits;
    this.monitor = monitor;
    this.clock = clock;
    this.metrics = metrics;
    this.connectTimeoutMs = settings.connectTimeoutMs();
    this.slots = new AdmissionController(clock, limits.slots(), settings.queueCapacity());
    this.transactionPermits =
        new AdmissionController(clock, limits.transactions(), settings.queueCapacity());
    this.pool = new TargetPool(opener(port), clock, limits.connections());
    this.breaker = new TargetCircuitBreaker(spec.name(), clock);
    this.statusCall =
        new CoalescedCall<>(runDeadline -> port.status(spec, runDeadline.remainingMs()));
    this.heldSinceMs = clock.monotonicMs();
  }

  private LongFunction<Result<TargetConnection>> opener(TargetPort port) {
    return timeoutMs -> {
      Result<TargetConnection> opened = port.openSession(spec, timeoutMs);
      if (!opened.isEmpty()) {
        metrics.connectionOpened();
      }
      return opened;
    };
  }

  TargetSpec spec() {
    return spec;
  }

  TargetPool pool() {
    return pool;
  }

  long heldSinceMs() {
    return heldSinceMs;
  }

  int queued() {
    return slots.queued();
  }

  /** Returns the highest log position that the target has reported. */
  LogPosition latestPosition() {
    return latestPosition.get();
  }

  /** Returns a target status requested after this call began; concurrent calls share requests. */
  Result<TargetStatus> status(Deadline deadline) {
    Result<TargetStatus> status = statusCall.call(deadline);
    if (status instanceof Result.Success<TargetStatus> success) {
      latestPosition.accumulateAndGet(success.value().applied(), LogPosition::max);
    }
    return status;
  }

  /** Returns whether a read may wait for the target to catch up. */
  boolean mayWaitForCatchUp() {
    return clock.monotonicMs() >= noCatchUpWaitUntilMs;
  }

  /** Disables waiting for the target to catch up for the given time, after a wait timed out. */
  void disableCatchUpWait(long durationMs) {
    if (mayWaitForCatchUp()) {
      noCatchUpWaitUntilMs = clock.monotonicMs() + durationMs;
    }
  }

  void resize(PoolLimits newLimits) {
    if (newLimits.equals(limits)) {
      return;
    }
    limits = newLimits;
    slots.resize(newLimits.slots());
    transactionPermits.resize(newLimits.transactions());
    pool.resize(newLimits.connections());
  }

  void warmUp() {
    pool.warmUp(limits.warmConnections(), connectTimeoutMs);
  }

  void closeIdle(long idleLimitMs) {
    pool.closeIdle(idleLimitMs, limits.warmConnections());
  }

  /** Retires the pool: new transactions are refused, and work in flight finishes. */
  void retire(Fault reason) {
    transactionPermits.close(reason);
    pool.retire();
  }

  /** Returns a permit to pin one connection to a transaction. */
  Result<AdmissionController.Permit> acquireTransactionPermit(AdmissionRequest request) {
    return transactionPermits.acquire(request);
  }

  /** Returns the answer to a statement that runs on a connection taken from the pool. */
  Result<TargetReply.Answered> callOnPooledConnection(
      AdmissionRequest request,
      Deadline deadline,
      Supplier<Optional<Fault>> preDispatchCheck,
      Function<TargetConnection, TargetReply> call) {
    return runInSlot(
        request,
        preDispatchCheck,
        () ->
            connect(deadline)
                .flatMap(
                    connection -> {
                      try {
                        return dispatch(connection, call);
                      } finally {
                        pool.release(connection);
                      }
                    }));
  }

  /** Returns the answer to a statement that runs on the given connection. */
  Result<TargetReply.Answered> callOnConnection(
      TargetConnection connection,
      AdmissionRequest request,
      Supplier<Optional<Fault>> preDispatchCheck,
      Function<TargetConnection, TargetReply> call) {
    return runInSlot(request, preDispatchCheck, () -> dispatch(connection, call));
  }

  /** Returns the result of a step that occupies a slot while it runs. */
  <T> Result<T> runInSlot(
      AdmissionRequest request,
      Supplier<Optional<Fault>> preDispatchCheck,
      Supplier<Result<T>> step) {
    return slots
        .acquire(request)
        .flatMap(
            permit -> {
              try (permit) {
                metrics.recordQueueWait(permit.waitedMs());
                Optional<Fault> fault = preDispatchCheck.get();
                return fault.<Result<T>>map(Result::failure).orElseGet(step);
              }
            });
  }

  /** Returns a connection of the pool; reports the target if it cannot be reached. */
  Result<TargetConnection> connect(Deadline deadline) {
    if (deadline.isPassed()) {
      return Deadline.exceeded();
    }
    if (!breaker.tryAcquirePermission()) {
      return Result.failure(
          new Fault(ResultCode.CIRCUIT_OPEN, spec.name(), breaker.retryAfterMs()));
    }
    Result<TargetConnection> taken = pool.acquire(deadline.remainingMs(connectTimeoutMs));
    if (taken instanceof Result.Failure<TargetConnection> failure) {
      recordConnectFailure(failure.fault());
    } else {
      breaker.releasePermission();
    }
    return taken;
  }

  private void recordConnectFailure(Fault fault) {
    if (fault.code() != ResultCode.TARGET_UNREACHABLE) {
      breaker.releasePermission();
      return;
    }
    breaker.recordFailure();
    monitor.reportUnreachable(group, spec.name(), fault.detail().startsWith("refused"));
  }

  private Result<TargetReply.Answered> dispatch(
      TargetConnection connection, Function<TargetConnection, TargetReply> call) {
    if (!breaker.tryAcquirePermission()) {
      return Result.failure(
          new Fault(ResultCode.CIRCUIT_OPEN, spec.name(), breaker.retryAfterMs()));
    }
    long answerCountBefore = answerCount.get();
    TargetReply reply;
    try {
      reply = call.apply(connection);
    } catch (RuntimeException e) {
      breaker.recordFailure();
      connection.close();
      return Result.failure(ResultCode.INTERNAL_UNKNOWN, "failed after dispatch: " + e);
    }
    return switch (reply) {
      case TargetReply.Answered answered -> {
        recordAnswer();
        latestPosition.accumulateAndGet(answered.position(), LogPosition::max);
        yield Result.success(answered);
      }
      case TargetReply.NotRun(Fault fault) -> {
        recordNotRun(fault);
        yield Result.failure(fault);
      }
      case TargetReply.Unknown(String detail) -> {
        connection.close();
        recordNoAnswer(answerCountBefore);
        yield Result.failure(ResultCode.UNKNOWN_OUTCOME, spec.name() + ": " + detail);
      }
    };
  }

  private void recordAnswer() {
    answerCount.incrementAndGet();
    breaker.recordSuccess();
  }

  /** Reports the target as unreachable, unless it answered other requests meanwhile: it is slow. */
  private void recordNoAnswer(long answerCountBefore) {
    if (answerCount.get() != answerCountBefore) {
      breaker.releasePermission();
      return;
    }
    breaker.recordFailure();
    monitor.reportUnreachable(group, spec.name(), false);
  }

  private void recordNotRun(Fault fault) {
    if (fault.code() == ResultCode.TARGET_UNREACHABLE) {
      breaker.recordFailure();
      monitor.reportUnreachable(group, spec.name(), fault.detail().startsWith("refused"));
      return;
    }
    recordAnswer();
  }
}
