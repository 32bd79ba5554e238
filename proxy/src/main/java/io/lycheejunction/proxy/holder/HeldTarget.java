package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.admission.Admission;
import io.lycheejunction.core.admission.Ask;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.group.GroupWatch;
import io.lycheejunction.core.port.TargetConnection;
import io.lycheejunction.core.port.TargetPort;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.function.Supplier;

/**
 * One target whose connections this proxy holds.
 *
 * <p>A slot is a statement that runs; a connection is an open session. The two have separate
 * limits, and transactions can pin only so many connections that single statements keep theirs.
 */
final class HeldTarget {
  private final String group;
  private final TargetSpec spec;
  private final GroupWatch watch;
  private final HolderMetrics metrics;
  private final long connectTimeoutMs;
  private final Admission slots;
  private final Admission sessions;
  private final TargetPool pool;
  private final TargetBreaker breaker;
  private final AtomicReference<LogPosition> seen = new AtomicReference<>(LogPosition.ORIGIN);
  private final long heldSinceMs;
  private volatile PoolLimits limits;

  HeldTarget(
      String group,
      TargetSpec spec,
      PoolLimits limits,
      TargetPort port,
      GroupWatch watch,
      RuntimeClock clock,
      HolderSettings settings,
      HolderMetrics metrics) {
    this.group = group;
    this.spec = spec;
    this.limits = limits;
    this.watch = watch;
    this.metrics = metrics;
    this.connectTimeoutMs = settings.connectTimeoutMs();
    this.slots = new Admission(clock, limits.slots(), settings.queueCapacity());
    this.sessions = new Admission(clock, limits.transactions(), settings.queueCapacity());
    this.pool = new TargetPool(opener(port), clock, limits.connections());
    this.breaker = new TargetBreaker(spec.name(), clock);
    this.heldSinceMs = clock.monotonicMs();
  }

  private LongFunction<Result<TargetConnection>> opener(TargetPort port) {
    return timeoutMs -> {
      Result<TargetConnection> opened = port.open(spec, timeoutMs);
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

  /** Returns the latest position that an answer of the target has shown. */
  LogPosition seen() {
    return seen.get();
  }

  void resize(PoolLimits newLimits) {
    if (newLimits.equals(limits)) {
      return;
    }
    limits = newLimits;
    slots.resize(newLimits.slots());
    sessions.resize(newLimits.transactions());
    pool.resize(newLimits.connections());
  }

  void warm() {
    pool.warm(limits.warm(), connectTimeoutMs);
  }

  void shrink(long idleLimitMs) {
    pool.shrink(idleLimitMs, limits.warm());
  }

  /** Ends the target's pool: no transaction starts, and what is in flight finishes. */
  void retire(Fault reason) {
    sessions.close(reason);
    pool.retire();
  }

  /** Returns the right to pin one connection to a transaction. */
  Result<Admission.Permit> session(Ask ask) {
    return sessions.acquire(ask);
  }

  /** Returns the answer of one statement that runs on a connection of its own. */
  Result<TargetReply.Answered> call(
      Ask ask,
      Deadline deadline,
      Supplier<Optional<Fault>> lastCheck,
      Function<TargetConnection, TargetReply> call) {
    return slotted(
        ask,
        lastCheck,
        () ->
            connect(deadline)
                .flatMap(
                    connection -> {
                      try {
                        return dispatch(connection, call);
                      } finally {
                        pool.giveBack(connection);
                      }
                    }));
  }

  /** Returns the answer of a statement that runs on the given connection. */
  Result<TargetReply.Answered> callOn(
      TargetConnection connection,
      Ask ask,
      Supplier<Optional<Fault>> lastCheck,
      Function<TargetConnection, TargetReply> call) {
    return slotted(ask, lastCheck, () -> dispatch(connection, call));
  }

  /** Returns the result of a step that holds a slot while it runs. */
  <T> Result<T> slotted(Ask ask, Supplier<Optional<Fault>> lastCheck, Supplier<Result<T>> step) {
    return slots
        .acquire(ask)
        .flatMap(
            permit -> {
              try (permit) {
                metrics.waited(permit.waitedMs());
                Optional<Fault> fault = lastCheck.get();
                return fault.<Result<T>>map(Result::failure).orElseGet(step);
              }
            });
  }

  /** Returns a connection of the pool; a target that cannot be reached is reported. */
  Result<TargetConnection> connect(Deadline deadline) {
    if (deadline.isPassed()) {
      return Deadline.exceeded();
    }
    if (!breaker.permit()) {
      return Result.failure(
          new Fault(ResultCode.CIRCUIT_OPEN, spec.name(), breaker.retryAfterMs()));
    }
    Result<TargetConnection> taken = pool.take(deadline.remainingMs(connectTimeoutMs));
    if (taken instanceof Result.Failure<TargetConnection> failure) {
      notConnected(failure.fault());
    } else {
      breaker.unused();
    }
    return taken;
  }

  private void notConnected(Fault fault) {
    if (fault.code() != ResultCode.TARGET_UNREACHABLE) {
      breaker.unused();
      return;
    }
    breaker.silent();
    watch.unreachable(group, spec.name(), fault.detail().startsWith("refused"));
  }

  private Result<TargetReply.Answered> dispatch(
      TargetConnection connection, Function<TargetConnection, TargetReply> call) {
    if (!breaker.permit()) {
      return Result.failure(
          new Fault(ResultCode.CIRCUIT_OPEN, spec.name(), breaker.retryAfterMs()));
    }
    TargetReply reply;
    try {
      reply = call.apply(connection);
    } catch (RuntimeException e) {
      breaker.silent();
      connection.close();
      return Result.failure(ResultCode.INTERNAL_UNKNOWN, "failed after dispatch: " + e);
    }
    return switch (reply) {
      case TargetReply.Answered answered -> {
        breaker.answered();
        seen.accumulateAndGet(answered.position(), LogPosition::max);
        yield Result.success(answered);
      }
      case TargetReply.NotRun(Fault fault) -> {
        notRun(fault);
        yield Result.failure(fault);
      }
      case TargetReply.Unknown(String detail) -> {
        breaker.silent();
        connection.close();
        watch.unreachable(group, spec.name(), false);
        yield Result.failure(ResultCode.UNKNOWN_OUTCOME, spec.name() + ": " + detail);
      }
    };
  }

  private void notRun(Fault fault) {
    if (fault.code() == ResultCode.TARGET_UNREACHABLE) {
      breaker.silent();
      watch.unreachable(group, spec.name(), fault.detail().startsWith("refused"));
      return;
    }
    breaker.answered();
  }
}
