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
 * The open connections of one target; safe for concurrent use.
 *
 * <p>It opens connections on demand and never more than its limit. A connection whose state is not
 * known is closed and never given out again.
 */
final class TargetPool {

  private record Idle(TargetConnection connection, long sinceMs) {}

  private final LongFunction<Result<TargetConnection>> opener;
  private final RuntimeClock clock;
  private final Deque<Idle> idle = new ArrayDeque<>();
  private int limit;
  private int open;
  private boolean retired;

  /** Creates an empty pool; the opener gets the time to wait, in milliseconds. */
  TargetPool(LongFunction<Result<TargetConnection>> opener, RuntimeClock clock, int limit) {
    this.opener = opener;
    this.clock = clock;
    this.limit = limit;
  }

  /** Returns a connection for one user, opened if none is idle. */
  Result<TargetConnection> take(long timeoutMs) {
    Optional<TargetConnection> pooled = takeIdle();
    if (pooled.isPresent()) {
      return Result.success(pooled.get());
    }
    if (reserve()) {
      return openReserved(timeoutMs);
    }
    return isRetired()
        ? Result.failure(ResultCode.NOT_HOLDER, "the pool has ended")
        : Result.failure(ResultCode.NO_CONNECTION, "all connections are in use");
  }

  /** Takes a connection back; it is kept only if its state is known and there is room. */
  void giveBack(TargetConnection connection) {
    if (!keep(connection)) {
      connection.close();
    }
  }

  /** Opens connections until the given number is open, or one cannot be opened. */
  void warm(int count, long timeoutMs) {
    while (open() < count && reserve()) {
      Result<TargetConnection> opened = openReserved(timeoutMs);
      if (opened instanceof Result.Success<TargetConnection> success) {
        giveBack(success.value());
      } else {
        return;
      }
    }
  }

  /** Closes connections that are idle for longer than the limit, but keeps the given number. */
  void shrink(long idleLimitMs, int keep) {
    close(takeOld(clock.monotonicMs() - idleLimitMs, keep));
  }

  /** Sets the limit; connections above it are closed as they become idle. */
  void resize(int newLimit) {
    close(takeExcess(newLimit));
  }

  /** Closes idle connections now and the others when they are given back. */
  void retire() {
    close(takeAll());
  }

  synchronized int open() {
    return open;
  }

  synchronized int inUse() {
    return open - idle.size();
  }

  private synchronized Optional<TargetConnection> takeIdle() {
    while (!idle.isEmpty()) {
      TargetConnection connection = idle.pollLast().connection();
      if (connection.isUsable()) {
        return Optional.of(connection);
      }
      open--;
    }
    return Optional.empty();
  }

  private synchronized boolean reserve() {
    if (retired || open >= limit) {
      return false;
    }
    open++;
    return true;
  }

  private synchronized boolean isRetired() {
    return retired;
  }

  private synchronized void unreserve() {
    open--;
  }

  private Result<TargetConnection> openReserved(long timeoutMs) {
    boolean opened = false;
    try {
      Result<TargetConnection> connection = opener.apply(timeoutMs);
      opened = !connection.isEmpty();
      return connection;
    } finally {
      if (!opened) {
        unreserve();
      }
    }
  }

  private synchronized boolean keep(TargetConnection connection) {
    if (retired || open > limit || !connection.isUsable()) {
      open--;
      return false;
    }
    idle.addLast(new Idle(connection, clock.monotonicMs()));
    return true;
  }

  private synchronized List<TargetConnection> takeOld(long beforeMs, int keep) {
    List<TargetConnection> old = new ArrayList<>();
    while (open > keep && !idle.isEmpty() && idle.peekFirst().sinceMs() <= beforeMs) {
      old.add(idle.pollFirst().connection());
      open--;
    }
    return old;
  }

  private synchronized List<TargetConnection> takeExcess(int newLimit) {
    limit = newLimit;
    List<TargetConnection> excess = new ArrayList<>();
    while (open > limit && !idle.isEmpty()) {
      excess.add(idle.pollFirst().connection());
      open--;
    }
    return excess;
  }

  private synchronized List<TargetConnection> takeAll() {
    retired = true;
    List<TargetConnection> all = idle.stream().map(Idle::connection).toList();
    open -= all.size();
    idle.clear();
    return all;
  }

  private static void close(List<TargetConnection> connections) {
    connections.forEach(TargetConnection::close);
  }
}
