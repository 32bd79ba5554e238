package io.lycheejunction.standin.model;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.KeyOutcome;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * An in-memory database group with a primary and replicas.
 *
 * <p>Replication has no thread of its own: each call first delivers the entries that are due by the
 * clock. The first instance starts as the primary of term 1, and every instance has the first entry
 * of the log. A restarted instance keeps its log, term and role. Thread-safe.
 */
public final class GroupModel {
  /** The idle time after which a session may be closed to make room, in milliseconds. */
  public static final long SESSION_IDLE_LIMIT_MS = 10_000;

  private static final long FIRST_TERM = 1;
  private static final long RECEIVED_POLL_MS = 1;

  final Object lock = new Object();
  final RuntimeClock clock;

  private final String name;
  private final ModelLimits limits;
  private final Map<String, Instance> instances = new LinkedHashMap<>();
  private final Replication replication;

  /**
   * Creates a group.
   *
   * @param name the name of the group
   * @param targets its instances; the first is the primary
   * @param limits the limits of each instance
   * @param links the links between failure domains
   * @param clock the runtime clock
   */
  public GroupModel(
      String name, List<TargetSpec> targets, ModelLimits limits, Links links, RuntimeClock clock) {
    this.name = Objects.requireNonNull(name, "name is null");
    this.limits = Objects.requireNonNull(limits, "limits is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    targets.forEach(target -> instances.put(target.name(), new Instance(target)));
    replication = new Replication(List.copyOf(instances.values()), links);
    appendFirstEntry();
    links.onChange(this::refresh);
  }

  private void appendFirstEntry() {
    LogEntry firstEntry =
        new LogEntry(new LogPosition(FIRST_TERM, 1), List.of(), Optional.empty(), List.of(), false);
    for (Instance instance : instances.values()) {
      instance.term = FIRST_TERM;
      instance.claimant = name;
      instance.append(firstEntry, clock.monotonicMs());
    }
    instances.values().iterator().next().role = Role.PRIMARY;
    refresh();
  }

  void refresh() {
    synchronized (lock) {
      replication.refresh(clock.monotonicMs());
    }
  }

  private void deliverDue() {
    replication.deliverDue(clock.monotonicMs());
  }

  /** Returns the instance after delivering and applying all entries that are due. */
  Instance upToDateInstance(String target) {
    Instance instance = instances.get(target);
    if (instance == null) {
      throw new IllegalArgumentException("unknown target " + target);
    }
    deliverDue();
    return instance;
  }

  ModelLimits limits() {
    return limits;
  }

  /**
   * Returns the name of the group.
   *
   * @return the name
   */
  public String name() {
    return name;
  }

  /**
   * Returns the instances of the group.
   *
   * @return the instances, in the order of configuration
   */
  public List<TargetSpec> targets() {
    return instances.values().stream().map(instance -> instance.spec).toList();
  }

  /**
   * Returns whether the group has an instance of that name.
   *
   * @param target the name of the instance
   * @return true if the instance is in the group
   */
  public boolean containsTarget(String target) {
    return instances.containsKey(target);
  }

  /**
   * Returns the status of an instance.
   *
   * @param target the name of the instance
   * @return the status
   */
  public TargetStatus status(String target) {
    synchronized (lock) {
      return upToDateInstance(target).status();
    }
  }

  /**
   * Returns the status as soon as the instance has received the position, or else at the timeout.
   *
   * @param target the name of the instance
   * @param position the log position to wait for
   * @param timeoutMs the time to wait, in milliseconds
   * @return the status
   * @throws InterruptedException if the thread is interrupted
   */
  public TargetStatus awaitReceived(String target, LogPosition position, long timeoutMs)
      throws InterruptedException {
    long deadlineMs = clock.monotonicMs() + timeoutMs;
    TargetStatus status = status(target);
    while (!status.received().isAtLeast(position) && clock.monotonicMs() < deadlineMs) {
      clock.sleepMs(RECEIVED_POLL_MS);
      status = status(target);
    }
    return status;
  }

  /**
   * Fences an instance: it accepts a higher term for the claimant and becomes a replica. Repeating
   * the call for the accepted term and claimant has no effect.
   *
   * @param target the name of the instance
   * @param term the claimed term
   * @param claimant identifies the claim
   * @return the status, or {@code TERM_TAKEN}
   */
  public Result<TargetStatus> fence(String target, long term, String claimant) {
    synchronized (lock) {
      Instance instance = upToDateInstance(target);
      if (term > instance.term) {
        instance.acceptTerm(term, claimant);
        refresh();
        return Result.success(instance.status());
      }
      return term == instance.term && claimant.equals(instance.claimant)
          ? Result.success(instance.status())
          : termTaken(instance);
    }
  }

  /**
   * Promotes an instance that was fenced for the term and claimant to primary. Repeating the call
   * has no effect.
   *
   * @param target the name of the instance
   * @param term the claimed term
   * @param claimant identifies the claim
   * @return the status, or {@code TERM_TAKEN}
   */
  public Result<TargetStatus> promote(String target, long term, String claimant) {
    synchronized (lock) {
      Instance instance = upToDateInstance(target);
      if (term != instance.term || !claimant.equals(instance.claimant)) {
        return termTaken(instance);
      }
      if (instance.role == Role.REPLICA) {
        instance.role = Role.PRIMARY;
        append(instance, List.of(), Optional.empty(), List.of(), false);
        refresh();
      }
      return Result.success(instance.status());
    }
  }

  private static <T> Result<T> termTaken(Instance instance) {
    return Result.failure(
        ResultCode.TERM_TAKEN, instance.spec.name() + " has accepted term " + instance.term);
  }

  /**
   * Returns the outcome that the primary has recorded for an idempotency key.
   *
   * @param target the name of the primary
   * @param term the term in which it must be the primary
   * @param key the idempotency key
   * @return the outcome, or {@code NOT_PRIMARY}
   */
  public Result<KeyOutcome> lookUp(String target, long term, String key) {
    synchronized (lock) {
      Instance instance = upToDateInstance(target);
      if (!instance.isPrimaryOf(term)) {
        return Result.failure(
            ResultCode.NOT_PRIMARY, target + " is not the primary of term " + term);
      }
      return Result.success(
          instance
              .ledgers()
              .recorded(key)
              .map(GroupModel::outcome)
              .orElse(new KeyOutcome.Absent(instance.applied())));
    }
  }

  private static KeyOutcome outcome(LogEntry entry) {
    return entry.cancels()
        ? new KeyOutcome.Cancelled(entry.position())
        : new KeyOutcome.Recorded(entry.position(), entry.rows());
  }

  /**
   * Returns the outcome of an idempotency key, after cancelling the key if none was recorded.
   *
   * @param target the name of the primary
   * @param term the term in which it must be the primary
   * @param key the idempotency key
   * @return the recorded outcome or the cancellation, or {@code NOT_PRIMARY}
   */
  public Result<KeyOutcome> cancel(String target, long term, String key) {
    synchronized (lock) {
      return lookUp(target, term, key)
          .map(
              outcome ->
                  outcome instanceof KeyOutcome.Absent
                      ? new KeyOutcome.Cancelled(writeCancel(upToDateInstance(target), key))
                      : outcome);
    }
  }

  private LogPosition writeCancel(Instance instance, String key) {
    return append(instance, List.of(), Optional.of(key), List.of(), true).position();
  }

  /** Appends an entry to the log of a primary and applies it there. */
  LogEntry append(
      Instance primary,
      List<String> statements,
      Optional<String> key,
      List<String> rows,
      boolean cancels) {
    LogPosition position = new LogPosition(primary.term, primary.logSize() + 1L);
    LogEntry entry = new LogEntry(position, statements, key, rows, cancels);
    primary.append(entry, clock.monotonicMs());
    primary.apply(clock.monotonicMs());
    return entry;
  }

  /**
   * Returns a new session on an instance, after the connect time.
   *
   * <p>At the connection limit, a session that was idle for {@link #SESSION_IDLE_LIMIT_MS} is
   * closed to make room, since its client may have disconnected.
   *
   * @param target the name of the instance
   * @return the session, or {@code NO_CONNECTION} when the connection limit is reached
   * @throws InterruptedException if the thread is interrupted
   */
  public Result<ModelSession> openSession(String target) throws InterruptedException {
    ModelSession session;
    synchronized (lock) {
      Instance instance = upToDateInstance(target);
      if (instance.sessions.size() >= limits.connections() && !closeIdleSession(instance)) {
        return Result.failure(
            ResultCode.NO_CONNECTION, target + " has reached its connection limit");
      }
      session = new ModelSession(this, instance);
      instance.sessions.add(session);
    }
    if (limits.connectMs() > 0) {
      clock.sleepMs(limits.connectMs());
    }
    return Result.success(session);
  }

  private boolean closeIdleSession(Instance instance) {
    Optional<ModelSession> abandoned =
        instance.sessions.stream()
            .filter(session -> session.isIdleFor(SESSION_IDLE_LIMIT_MS))
            .findFirst();
    abandoned.ifPresent(ModelSession::close);
    return abandoned.isPresent();
  }

  /**
   * Returns the fault injection of the group's instances.
   *
   * @return the fault injection
   */
  public GroupFaults faults() {
    return new GroupFaults(this);
  }

  /**
   * Returns all entries in the log of an instance, applied or not.
   *
   * @param target the name of the instance
   * @return the entries, in log order
   */
  public List<LogEntry> log(String target) {
    synchronized (lock) {
      return upToDateInstance(target).entries();
    }
  }

  /**
   * Returns the rows of a ledger that an instance has applied.
   *
   * @param target the name of the instance
   * @param ledger the name of the ledger
   * @return the rows, in the order in which their keys were first written
   */
  public List<LedgerRow> ledger(String target, String ledger) {
    synchronized (lock) {
      return upToDateInstance(target).ledgers().rows(ledger);
    }
  }

  /**
   * Returns the running primary with the highest term.
   *
   * @return the name of the instance, or empty if none is running
   */
  public Optional<String> primary() {
    synchronized (lock) {
      deliverDue();
      return instances.values().stream()
          .filter(instance -> instance.role == Role.PRIMARY && instance.isRunning())
          .max(Comparator.comparingLong(instance -> instance.term))
          .map(instance -> instance.spec.name());
    }
  }
}
