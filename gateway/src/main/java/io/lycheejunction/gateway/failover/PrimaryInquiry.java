package io.lycheejunction.gateway.failover;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.target.TargetHandle;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Asks all targets of a service for its primary, in case this VM has missed a promotion. At most
 * one inquiry is in flight.
 */
final class PrimaryInquiry {
  private static final EventLog LOG = EventLog.of(PrimaryInquiry.class);
  private static final long INTERVAL_MS = 300;
  private static final long TIMEOUT_MS = 250;

  /** How long a known primary is gone before all targets are asked for it, in milliseconds. */
  private static final long ASK_AFTER_MS = 1_500;

  /** The proven term of a target that has not confirmed that it is primary. */
  private static final long UNPROVEN = 0;

  private static final long NOT_GONE = Long.MAX_VALUE;

  private final FailoverContext failover;
  private final String service;
  private final Runnable onLearned;
  private long lastAskedMs = Long.MIN_VALUE / 2;
  private boolean inFlight;
  private long goneSinceMs = NOT_GONE;
  private boolean inDoubt;

  /**
   * Creates an inquiry that asks nothing yet.
   *
   * @param failover the state and services that failover shares
   * @param service the service
   * @param onLearned runs after the answers have changed what this VM knows of the primary
   */
  PrimaryInquiry(FailoverContext failover, String service, Runnable onLearned) {
    this.failover = Objects.requireNonNull(failover, "failover is null");
    this.service = Objects.requireNonNull(service, "service is null");
    this.onLearned = Objects.requireNonNull(onLearned, "onLearned is null");
  }

  /**
   * Returns whether the primary that was just found may have been replaced, and the targets have
   * not been asked about it yet.
   */
  boolean isInDoubt() {
    return inDoubt;
  }

  /** Records the primary that this VM has just found. */
  void onPrimaryFound(TargetHandle primary) {
    inDoubt = failover.targets().hasNewerClaim(primary);
  }

  /** Records that the known primary is not gone. */
  void onPrimaryReached() {
    goneSinceMs = NOT_GONE;
  }

  /**
   * Asks once the known primary has been gone for some time. Another VM may have replaced it while
   * the store is unreachable.
   */
  void askAfterDelay() {
    if (goneSinceMs == NOT_GONE) {
      goneSinceMs = now();
    }
    if (now() - goneSinceMs >= ASK_AFTER_MS) {
      ask();
    }
  }

  /** Asks if another target may lead in place of a primary that may have been replaced. */
  void askIfContested(TargetHandle primary) {
    boolean mayBeReplaced = failover.leases().use().needsLease() || primary.isGone(now());
    if (inDoubt || mayBeReplaced && isContested(primary)) {
      ask();
    }
  }

  /**
   * Returns whether another target claims to be primary too, in a term that is not known to be
   * lower. A replaced primary may go on to claim the role.
   */
  private boolean isContested(TargetHandle primary) {
    return failover.targets().of(service).stream()
        .filter(handle -> handle != primary && handle.isPrimary())
        .mapToLong(TargetHandle::provenTerm)
        .anyMatch(term -> term == UNPROVEN || term >= primary.provenTerm());
  }

  /** Asks now, unless the targets were asked a moment ago. */
  void ask() {
    if (inFlight || now() - lastAskedMs < INTERVAL_MS) {
      return;
    }
    inFlight = true;
    lastAskedMs = now();
    StatusRound.start(
        failover.scheduler(),
        failover.linkOpener(),
        failover.targets().of(service),
        new TargetCommand.AskStatus(),
        TIMEOUT_MS,
        this::onStatuses);
  }

  private void onStatuses(List<Candidate> answers) {
    inFlight = false;
    StatusAnswers statuses = new StatusAnswers(answers);
    Optional<Candidate> leader = statuses.leader();
    final boolean learned = inDoubt || leader.isPresent() || !statuses.replaced().isEmpty();
    inDoubt = false;
    statuses.replaced().forEach(this::onReplaced);
    leader.ifPresent(this::onLeader);
    if (learned) {
      onLearned.run();
    }
  }

  private void onLeader(Candidate leader) {
    log("primary_asked", leader);
    leader.handle().recordPrimary(leader.term());
  }

  private void onReplaced(Candidate replaced) {
    log("primary_outdated", replaced);
    replaced.handle().recordReplaced();
  }

  private void log(String event, Candidate candidate) {
    LOG.info(
        event,
        "service",
        service,
        "target",
        candidate.handle().target().id(),
        "term",
        candidate.term());
  }

  private long now() {
    return failover.scheduler().nowMs();
  }
}
