package io.lycheejunction.standin.model;

import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.term.LogPosition;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The state of one instance. Guarded by the lock of its group. */
final class Instance {
  private record ReceivedEntry(LogEntry entry, long receivedAtMs) {}

  final TargetSpec spec;
  final Set<ModelSession> sessions = new HashSet<>();
  final List<Runnable> pendingRequests = new ArrayList<>();
  long term;
  String claimant = "";
  Role role = Role.REPLICA;
  boolean leaving;
  boolean paused;
  boolean crashed;
  long replicaLagMs;
  long applyLagMs;
  int runningStatements;

  private final List<ReceivedEntry> log = new ArrayList<>();
  private Ledgers ledgers = new Ledgers();
  private int appliedCount;

  Instance(TargetSpec spec) {
    this.spec = spec;
  }

  boolean isRunning() {
    return !paused && !crashed;
  }

  boolean isPrimaryOf(long wantedTerm) {
    return role == Role.PRIMARY && term == wantedTerm;
  }

  int logSize() {
    return log.size();
  }

  LogEntry entry(int index) {
    return log.get(index).entry();
  }

  long receivedAtMs(int index) {
    return log.get(index).receivedAtMs();
  }

  LogPosition received() {
    return position(log.size());
  }

  LogPosition applied() {
    return position(appliedCount);
  }

  private LogPosition position(int count) {
    return count == 0 ? LogPosition.ORIGIN : log.get(count - 1).entry().position();
  }

  Ledgers ledgers() {
    return ledgers;
  }

  List<LogEntry> entries() {
    return log.stream().map(ReceivedEntry::entry).toList();
  }

  void append(LogEntry entry, long nowMs) {
    log.add(new ReceivedEntry(entry, nowMs));
  }

  /** Removes the entries from the index on, and rebuilds the ledgers if any of them was applied. */
  void truncate(int index) {
    log.subList(index, log.size()).clear();
    if (appliedCount > index) {
      ledgers = new Ledgers();
      appliedCount = 0;
      applyUpTo(index);
    }
  }

  /** Applies the entries whose apply lag has passed; a primary applies all entries at once. */
  void apply(long nowMs) {
    int dueCount = appliedCount;
    while (dueCount < log.size()
        && (role == Role.PRIMARY || log.get(dueCount).receivedAtMs() + applyLagMs <= nowMs)) {
      dueCount++;
    }
    applyUpTo(dueCount);
  }

  private void applyUpTo(int count) {
    while (appliedCount < count) {
      ledgers.apply(log.get(appliedCount).entry());
      appliedCount++;
    }
  }

  /** Accepts a higher term and becomes a replica. */
  void acceptTerm(long newTerm, String newClaimant) {
    term = newTerm;
    claimant = newClaimant;
    role = Role.REPLICA;
  }

  TargetStatus status() {
    return new TargetStatus(spec.name(), term, role, received(), applied(), leaving);
  }
}
