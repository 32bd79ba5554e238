package io.lycheejunction.standin.model;

import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.term.LogPosition;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The state of one instance. The caller holds the lock of the group. */
final class Instance {
  private record Held(LogEntry entry, long receivedAtMs) {}

  final TargetSpec spec;
  final Set<ModelSession> sessions = new HashSet<>();
  final List<Runnable> pending = new ArrayList<>();
  long term;
  String claimant = "";
  Role role = Role.REPLICA;
  boolean leaving;
  boolean paused;
  boolean crashed;
  long replicaLagMs;
  long applyLagMs;
  int running;

  private final List<Held> log = new ArrayList<>();
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

  int size() {
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
    return log.stream().map(Held::entry).toList();
  }

  void append(LogEntry entry, long nowMs) {
    log.add(new Held(entry, nowMs));
  }

  /** Drops the entries from the index on, and the data that came from them. */
  void truncate(int index) {
    log.subList(index, log.size()).clear();
    if (appliedCount > index) {
      ledgers = new Ledgers();
      appliedCount = 0;
      applyUpTo(index);
    }
  }

  /** Applies what is due; a primary applies everything at once. */
  void apply(long nowMs) {
    int due = appliedCount;
    while (due < log.size()
        && (role == Role.PRIMARY || log.get(due).receivedAtMs() + applyLagMs <= nowMs)) {
      due++;
    }
    applyUpTo(due);
  }

  private void applyUpTo(int count) {
    while (appliedCount < count) {
      ledgers.apply(log.get(appliedCount).entry());
      appliedCount++;
    }
  }

  /** Accepts a higher term as a replica. */
  void accept(long newTerm, String newClaimant) {
    term = newTerm;
    claimant = newClaimant;
    role = Role.REPLICA;
  }

  TargetStatus status() {
    return new TargetStatus(spec.name(), term, role, received(), applied(), leaving);
  }
}
