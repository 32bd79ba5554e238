package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.port.TargetConnection;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.LongFunction;

/**
 * A pool of connections to one target; safe for concurrent use.
 *
 * <p>Connections are opened on demand, up to a limit. A connection whose state is not known is
 * closed and never reused.
 */
final class TargetPool {

  private record IdleConnection(TargetConnection connection, long sinceMs) {}

  private final LongFunction<Result<TargetConnection>> opener;
  private final RuntimeClock clock;
  private final Deque<IdleConnection> idle = new ArrayDeque<>();
  private int limit;
  private int openCount;
  private boolean retired;

  /** Creates an empty pool; the argument of the opener is the connect timeout in milliseconds. */
  TargetPool(LongFunction<Result<TargetConnection>> opener, RuntimeClock clock, int limit) {
    this.opener = opener;
    this.clock = clock;
    this.limit = limit;
  }

  /**
   * Returns an idle connection, or a new one if none is idle.
   *
   * <p>Fails with {@code NOT_HOLDER} if the pool is retired, {@code NO_CONNECTION} if the limit is
   * reached, or the fault of the opener.
   */
  Result<TargetConnection> acquire(long timeoutMs) {
    Optional<TargetConnection> pooled = acquireIdle();
    if (pooled.isPresent()) {
      return Result.success(pooled.get());
    }
    if (tryReserve()) {
      return openReserved(timeoutMs);
    }
    return isRetired()
        ? Result.failure(ResultCode.NOT_HOLDER, "the pool is retired")
        : Result.failure(ResultCode.NO_CONNECTION, "all connections are in use");
  }

  /** Returns a connection to the pool; closes it if it is not usable or exceeds the limit. */
  void release(TargetConnection connection) {
    if (!addToIdle(connection)) {
      connection.close();
    }
  }

  /** Opens connections until the given number is open, or opening one fails. */
  void warmUp(int count, long timeoutMs) {
    while (openCount() < count && tryReserve()) {
      Result<TargetConnection> opened = openReserved(timeoutMs);
      if (opened instanceof Result.Success<TargetConnection> success) {
        release(success.value());
      } else {
        return;
      }
    }
  }

  /** Closes connections that reached the idle limit, but leaves at least the given number open. */
  void closeIdle(long idleLimitMs, int minimumOpen) {
    close(removeExpired(clock.monotonicMs() - idleLimitMs, minimumOpen));
  }

  /** Sets the limit; connections above it are closed as they become idle. */
  void resize(int newLimit) {
    close(removeExcess(newLimit));
  }

  /** Closes idle connections now and the others when they are released; none is opened again. */
  void retire() {
    close(retireAndRemoveIdle());
  }

  synchronized int openCount() {
    return openCount;
  }

  synchronized int inUseCount() {
    return openCount - idle.size();
  }

  private synchronized Optional<TargetConnection> acquireIdle() {
    while (!idle.isEmpty()) {
      TargetConnection connection = idle.pollLast().connection();
      if (connection.isUsable()) {
        return Optional.of(connection);
      }
      openCount--;
    }
    return Optional.empty();
  }

  private synchronized boolean tryReserve() {
    if (retired || openCount >= limit) {
      return false;
    }
    openCount++;
    return true;
  }

  private synchronized boolean isRetired() {
    return retired;
  }

  private synchronized void cancelReservation() {
    openCount--;
  }

  private Result<TargetConnection> openReserved(long timeoutMs) {
    boolean opened = false;
    try {
      Result<TargetConnection> connection = opener.apply(timeoutMs);
      opened = !connection.isEmpty();
      return connection;
    } finally {
      if (!opened) {
        cancelReservation();
      }
    }
  }

  private synchronized boolean addToIdle(TargetConnection connection) {
    if (retired || openCount > limit || !connection.isUsable()) {
      openCount--;
      return false;
    }
    idle.addLast(new IdleConnection(connection, clock.monotonicMs()));
    return true;
  }

  private synchronized List<TargetConnection> removeExpired(long beforeMs, int minimumOpen) {
    List<TargetConnection> expired = new ArrayList<>();
    while (openCount > minimumOpen && !idle.isEmpty() && idle.peekFirst().sinceMs() <= beforeMs) {
      expired.add(idle.pollFirst().connection());
      openCount--;
    }
    return expired;
  }

  private synchronized List<TargetConnection> removeExcess(int newLimit) {
    limit = newLimit;
    List<TargetConnection> excess = new ArrayList<>();
    while (openCount > limit && !idle.isEmpty()) {
      excess.add(idle.pollFirst().connection());
      openCount--;
    }
    return excess;
  }

  private synchronized List<TargetConnection> retireAndRemoveIdle() {
    retired = true;
    List<TargetConnection> all = idle.stream().map(IdleConnection::connection).toList();
    openCount -= all.size();
    idle.clear();
    return all;
  }

  private static void close(List<TargetConnection> connections) {
    connections.forEach(TargetConnection::close);
  }
}
