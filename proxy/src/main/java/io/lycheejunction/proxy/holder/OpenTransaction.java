package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.admission.Admission;
import io.lycheejunction.core.port.TargetConnection;
import java.util.concurrent.atomic.AtomicBoolean;

/** A transaction that is pinned to one connection of a primary, used by one step at a time. */
final class OpenTransaction {
  private final TransactionStart start;
  private final HeldTarget held;
  private final TargetConnection connection;
  private final Admission.Permit session;
  private final AtomicBoolean busy = new AtomicBoolean();
  private volatile long lastUsedMs;

  OpenTransaction(
      TransactionStart start,
      HeldTarget held,
      TargetConnection connection,
      Admission.Permit session,
      long nowMs) {
    this.start = start;
    this.held = held;
    this.connection = connection;
    this.session = session;
    this.lastUsedMs = nowMs;
  }

  TransactionStart start() {
    return start;
  }

  HeldTarget held() {
    return held;
  }

  TargetConnection connection() {
    return connection;
  }

  /** Returns whether the caller may run a step; it must then call {@link #leave}. */
  boolean enter() {
    return busy.compareAndSet(false, true);
  }

  void leave(long nowMs) {
    lastUsedMs = nowMs;
    busy.set(false);
  }

  boolean isIdle(long nowMs) {
    return nowMs - lastUsedMs >= start.idleLimitMs();
  }

  /** Gives the connection back, which is closed unless its transaction is known to have ended. */
  void release(boolean ended) {
    if (!ended) {
      connection.close();
    }
    held.pool().giveBack(connection);
    session.close();
  }
}
