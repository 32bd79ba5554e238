package io.lycheejunction.gateway.failover;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.lease.ReleaseReply;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.target.TargetHandle;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Replaces the primary of one service: acquires the lease, selects the target that has received the
 * most of the log, and orders its promotion with the lease's fencing token.
 *
 * <p>An order for a different target uses a new token, so that an earlier order that the platform
 * executes late is rejected. A primary that still answers is told to step down first, and the new
 * primary catches up with it before the promotion, so that no acknowledged commit is lost. A
 * primary that has not confirmed this may go on where primaries are used under leases; then the
 * order waits until no VM holds a lease on it.
 */
final class FailoverRun {
  private static final EventLog LOG = EventLog.of(FailoverRun.class);
  private static final long STATUS_TIMEOUT_MS = 200;
  private static final long STEP_DOWN_TIMEOUT_MS = 300;
  private static final long CATCH_UP_TIMEOUT_MS = 600;
  private static final long CATCH_UP_POLL_MS = 25;
  private static final long ORDER_RETRY_DELAY_MS = 200;
  private static final int MAX_ORDERS = 5;
  private static final long PROMOTION_TIMEOUT_MS = 4_000;

  private final FailoverContext failover;
  private final String service;
  private final String reason;
  private final Optional<TargetHandle> previousPrimary;
  private final String previousId;
  private final boolean stepDownFirst;
  private final PrimaryRelease release;
  private final RunLease lease;
  private final ReplicationStop replication;
  private final Set<String> rejectedTargetIds = new HashSet<>();
  private long startMs;
  private long lastOrderMs;
  private int orders;
  private boolean ended;
  private long endedMs;
  private LogPosition requiredPosition = LogPosition.ORIGIN;

  FailoverRun(
      FailoverContext failover,
      String service,
      String reason,
      Optional<TargetHandle> previousPrimary,
      String previousId,
      boolean stepDownFirst,
      Supplier<ReleaseReply> ownRelease) {
    this.failover = failover;
    this.service = service;
    this.reason = reason;
    this.previousPrimary = previousPrimary;
    this.previousId = previousId;
    this.stepDownFirst = stepDownFirst;
    this.release = new PrimaryRelease(failover, service, previousId, ownRelease);
    this.lease = new RunLease(failover, service, previousId, reason);
    this.replication = new ReplicationStop(failover, service);
  }

  void start() {
    startMs = now();
    if (stepDownFirst && previousPrimary.isPresent()) {
      acquireLease(() -> stepDown(previousPrimary.get()));
    } else {
      releaseThen(() -> acquireLease(() -> awaitUnused(this::selectCandidate)));
    }
  }

  boolean isEnded() {
    return ended;
  }

  /** Returns when the run was started, in milliseconds. */
  long startedMs() {
    return startMs;
  }

  /** Returns when the run ended, in milliseconds. */
  long endedMs() {
    return endedMs;
  }

  /** Returns whether the run has ended since too few VMs have released the primary. */
  boolean isReleaseDenied() {
    return release.isDenied();
  }

  /** Ends the run because the service has a primary. */
  void complete(String primary) {
    if (!ended) {
      if (orders > 0) {
        failover.gate().recordPromotionDuration(now() - lastOrderMs);
      }
      end("promoted " + primary);
    }
  }

  private void acquireLease(Runnable next) {
    lease.acquire(() -> onLeaseAcquired(next), cause -> end("no lease: " + cause));
  }

  /** Too many VMs may have refused the release while the lease was written. */
  private void onLeaseAcquired(Runnable next) {
    if (ended && release.isDenied()) {
      release.withdraw(true);
    } else {
      next.run();
    }
  }

  /** Treats what the run has acquired as expired, since the clock may have missed time. */
  void onClockGap(long nowMs) {
    lease.onClockGap(nowMs);
  }

  /** Checked right before an order leaves, as this process may have been suspended. */
  private boolean mayOrder() {
    return !ended && lease.isFresh() && !lease.isLost() && !release.isOutdated();
  }

  /** Continues once a quorum has released the previous primary. */
  private void releaseThen(Runnable next) {
    release.request(
        () -> continueRun(next),
        () -> {
          release.withdraw(lease.wasAcquired());
          end("primary not released by enough VMs");
        });
  }

  private void awaitUnused(Runnable next) {
    release.awaitUnused(lease.firstAcquiredMs(), () -> continueRun(next));
  }

  private void continueRun(Runnable next) {
    if (!ended) {
      next.run();
    }
  }

  private void stepDown(TargetHandle primary) {
    StatusRound.start(
        failover.scheduler(),
        failover.linkOpener(),
        List.of(primary),
        new TargetCommand.StepDown(nextTerm()),
        STEP_DOWN_TIMEOUT_MS,
        answers -> {
          answers.forEach(answer -> requiredPosition = requiredPosition.max(answer.received()));
          if (answers.stream().anyMatch(answer -> !answer.primary())) {
            release.onSteppedDown();
          }
          LOG.info(
              "primary_stepped_down",
              "service",
              service,
              "target",
              primary.target().id(),
              "answered",
              !answers.isEmpty(),
              "position",
              requiredPosition);
          releaseThen(() -> awaitUnused(this::selectCandidate));
        });
  }

  private void selectCandidate() {
    if (ended) {
      return;
    }
    List<TargetHandle> candidates = new ArrayList<>();
    for (TargetHandle handle : failover.targets().of(service)) {
      boolean isPrevious = previousPrimary.isPresent() && previousPrimary.get() == handle;
      if (!isPrevious
          && !failover.targets().isLeaving(handle)
          && !rejectedTargetIds.contains(handle.target().id())) {
        candidates.add(handle);
      }
    }
    StatusRound.start(
        failover.scheduler(),
        failover.linkOpener(),
        candidates,
        replication.statusCommand(nextTerm()),
        STATUS_TIMEOUT_MS,
        this::onStatuses);
  }

  private long nextTerm() {
    return failover.newestTerm(service) + 1;
  }

  private void onStatuses(List<Candidate> answers) {
    if (ended) {
      return;
    }
    replication.onAnswered(answers);
    StatusAnswers statuses = new StatusAnswers(answers);
    Optional<Candidate> leader = statuses.leader().filter(found -> !isReplaced(found));
    if (leader.isPresent()) {
      leader.get().handle().recordPrimary(leader.get().term());
      endAsLedBy(leader.get().handle(), "another target is already primary");
      return;
    }
    stepDownReplaced(answers, statuses.newestTerm());
    List<Candidate> replicas = statuses.replicas();
    Optional<Candidate> best = replicas.stream().max(Candidate.BY_POSITION);
    logCandidates(replicas, best);
    boolean enough = replicas.size() >= replication.requiredAnswers();
    boolean behind = best.isEmpty() || !best.get().received().isAtLeast(requiredPosition);
    if ((!enough || behind) && now() - startMs < CATCH_UP_TIMEOUT_MS) {
      failover.scheduler().schedule(CATCH_UP_POLL_MS, this::selectCandidate);
    } else if (enough) {
      orderPromotion(best.get().handle());
    } else {
      end("too few candidates answered");
    }
  }

  /** Returns whether a primary leads an older term than a target has led, as the previous one. */
  private boolean isReplaced(Candidate primary) {
    return primary.term() < failover.newestTerm(service);
  }

  /**
   * Tells primaries that were replaced before to step down, so that they can be promoted. Only
   * those of older terms are left when no leader was found.
   */
  private void stepDownReplaced(List<Candidate> answers, long newestTerm) {
    List<TargetHandle> replaced =
        answers.stream().filter(Candidate::primary).map(Candidate::handle).toList();
    if (replaced.isEmpty()) {
      return;
    }
    replaced.forEach(TargetHandle::recordReplaced);
    StatusRound.start(
        failover.scheduler(),
        failover.linkOpener(),
        replaced,
        new TargetCommand.StepDown(Math.max(nextTerm(), newestTerm + 1)),
        STEP_DOWN_TIMEOUT_MS,
        stopped ->
            LOG.info(
                "replaced_primaries_stepped_down",
                "service",
                service,
                "targets",
                replaced.size(),
                "answered",
                stopped.size()));
  }

  private void logCandidates(List<Candidate> answers, Optional<Candidate> best) {
    LOG.info(
        "failover_candidates",
        "service",
        service,
        "answers",
        answers.size(),
        "needed",
        replication.requiredAnswers(),
        "best",
        best.map(candidate -> candidate.handle().target().id()).orElse("-"),
        "received",
        best.map(candidate -> candidate.received().toString()).orElse("-"),
        "must_have",
        requiredPosition);
  }

  private void orderPromotion(TargetHandle chosen) {
    if (ended) {
      return;
    }
    if (lease.isLost()) {
      end("the lease was acquired again, or lost in a restore of the store");
      return;
    }
    if (!lease.isFresh()) {
      acquireLease(() -> orderPromotion(chosen));
      return;
    }
    if (release.isOutdated()) {
      releaseThen(() -> awaitUnused(() -> orderPromotion(chosen)));
      return;
    }
    Optional<TargetHandle> reached = reachedPrimary();
    if (orders == 0 && !stepDownFirst && reached.isPresent()) {
      endAsLedBy(reached.get(), "the primary answers again");
      return;
    }
    orders++;
    lastOrderMs = now();
    failover.gate().onPromotionOrdered(service);
    LOG.info(
        "promotion_ordered",
        "service",
        service,
        "target",
        chosen.target().id(),
        "token",
        lease.token(),
        "reason",
        reason,
        "since_start_ms",
        now() - startMs);
    failover
        .orders()
        .promote(
            new PromotionOrders.Order(chosen.target(), failover.holder(), lease.token()),
            this::mayOrder,
            outcome -> onPromotionReply(chosen, outcome));
  }

  private void onPromotionReply(TargetHandle chosen, PromotionOrders.Outcome outcome) {
    LOG.info(
        "promotion_answered",
        "service",
        service,
        "target",
        chosen.target().id(),
        "token",
        lease.token(),
        "outcome",
        outcome);
    if (ended) {
      return;
    }
    switch (outcome) {
      case PromotionOrders.Outcome.Accepted accepted ->
          failover.scheduler().schedule(PROMOTION_TIMEOUT_MS, () -> end("no primary registered"));
      case PromotionOrders.Outcome.Rejected rejection -> {
        rejectedTargetIds.add(chosen.target().id());
        retryOrder(() -> acquireLease(this::selectCandidate));
      }
      case PromotionOrders.Outcome.Unknown unknown -> retryOrder(() -> orderPromotion(chosen));
    }
  }

  /**
   * Ends the run since a target leads that is reached. VMs may use the primary again that they have
   * released if that is the one, unless a promotion may still take effect.
   */
  private void endAsLedBy(TargetHandle leader, String outcome) {
    if (orders == 0 && leader.target().id().equals(previousId)) {
      release.withdraw(lease.wasAcquired());
    }
    end(outcome);
  }

  private void retryOrder(Runnable next) {
    if (orders >= MAX_ORDERS) {
      end("too many promotion orders");
      return;
    }
    failover.scheduler().schedule(ORDER_RETRY_DELAY_MS, () -> continueRun(next));
  }

  private void end(String outcome) {
    if (!ended) {
      ended = true;
      endedMs = now();
      release.cancel();
      replication.resume();
      LOG.info(
          "failover_ended",
          "service",
          service,
          "reason",
          reason,
          "outcome",
          outcome,
          "took_ms",
          now() - startMs);
    }
  }

  /**
   * Returns the primary if it is reached. It may be another one than the run was started for, if
   * that was replaced before.
   */
  private Optional<TargetHandle> reachedPrimary() {
    return failover.targets().primaryOf(service).filter(handle -> !handle.isGone(now()));
  }

  private long now() {
    return failover.scheduler().nowMs();
  }
}
