package io.lycheejunction.gateway.failover;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.failover.PreVote;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.lease.KnownPrimary;
import io.lycheejunction.gateway.lease.LeaseContext;
import io.lycheejunction.gateway.lease.PrimaryLeases;
import io.lycheejunction.gateway.lease.ReleaseReply;
import io.lycheejunction.gateway.target.TargetHandle;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** Watches the primary of one service and starts its replacement when it is gone or leaving. */
final class ServiceWatch {
  private static final EventLog LOG = EventLog.of(ServiceWatch.class);
  private static final long LEAVING_JITTER_MS = 300;

  /**
   * How long a VM that cannot reach a leaving primary waits before it replaces it, in milliseconds.
   * VMs that reach the primary can tell it to step down first, so that no commit is lost.
   */
  private static final long UNREACHABLE_LEAVING_DELAY_MS = 1_000;

  /**
   * How long VMs that still reach the primary have to vote against, in milliseconds. Where they are
   * asked to release the primary, they can object then.
   */
  private static final long OBJECTION_WAIT_MS = 100;

  private static final long MAX_ANSWER_AGE_MS = 250;

  /** How long statements may wait for the lease on a primary that was just found. */
  private static final long FIRST_LEASE_MS = 400;

  /** The expected time until the lease on a primary that was just found, in milliseconds. */
  private static final long EXPECTED_LEASE_MS = 100;

  private final FailoverContext failover;
  private final String service;
  private final Runnable onPrimaryFound;
  private final long jitterMs;
  private final PrimaryVotes votes;
  private final PrimaryProbe probe;
  private final PrimaryInquiry inquiry;
  private final ReplacementTurn turn;
  private final RunBackoff backoff = new RunBackoff();
  private Optional<String> lastPrimary = Optional.empty();
  private final OwnVote ownVote = new OwnVote();
  private long primaryFoundMs;
  private boolean awaitingFirstLease;
  private long earliestStartMs = Long.MIN_VALUE;
  private FailoverRun run;
  private boolean checkScheduled;

  ServiceWatch(FailoverContext failover, String service, Runnable onPrimaryFound) {
    this.failover = failover;
    this.service = service;
    this.onPrimaryFound = onPrimaryFound;
    this.votes = new PrimaryVotes(failover, service);
    this.probe = new PrimaryProbe(failover, service);
    this.inquiry = new PrimaryInquiry(failover, service, this::check);
    this.turn = new ReplacementTurn(service);
    this.jitterMs = Math.floorMod((failover.vm() + '/' + service).hashCode(), LEAVING_JITTER_MS);
  }

  /** Checks the primary; returns true if it should be checked again soon. */
  boolean check() {
    Optional<TargetHandle> primary = failover.targets().primaryOf(service);
    updatePrimary(primary);
    if (primary.isEmpty()) {
      return checkWithoutPrimary();
    }
    TargetHandle handle = primary.get();
    inquiry.askIfContested(handle);
    probe.probeIfDue(handle);
    boolean gone = handle.isGone(now());
    boolean canStepDown = handle.target().leaving() || !gone;
    if (failover.targets().isLeaving(handle) && canStepDown) {
      long delayMs = gone ? jitterMs + UNREACHABLE_LEAVING_DELAY_MS : jitterMs;
      startAfter(delayMs, "leaving", primary, true);
      return true;
    }
    updateVote(handle, gone);
    if (gone) {
      handle
          .pool()
          .refuseWaiting(Fault.of(ResultCode.TARGET_UNREACHABLE, "the primary does not answer"));
      inquiry.askAfterDelay();
      replaceIfGranted(handle.target().id(), primary);
      return true;
    }
    inquiry.onPrimaryReached();
    onReplacementNotNeeded();
    return handle.isSuspected(now());
  }

  /**
   * Returns this VM's vote on a primary, for another VM that requests it.
   *
   * @param primary the identifier of the primary
   * @return the vote, which may be about another primary, or empty if there is none yet
   */
  Optional<Vote> currentVote(String primary) {
    Optional<TargetHandle> known = failover.targets().primaryOf(service);
    ownVote.onAsked();
    if (known.isEmpty()) {
      return Optional.of(vote(primary, true));
    }
    TargetHandle handle = known.get();
    if (handle.isGone(now())) {
      return Optional.of(vote(handle.target().id(), true));
    }
    if (now() - handle.lastAnswerMs() <= MAX_ANSWER_AGE_MS) {
      return Optional.of(vote(handle.target().id(), false));
    }
    probe.probe(handle);
    return Optional.empty();
  }

  /** Returns the primary that this VM knows, and whether it grants the lease on it. */
  Optional<KnownPrimary> knownPrimary() {
    return failover
        .targets()
        .primaryOf(service)
        .map(
            handle ->
                new KnownPrimary(
                    service, handle.target().id(), handle.provenTerm(), isLeaseGranted(handle)));
  }

  /** Uses a primary that another VM has proven to lead a newer term than this VM knows. */
  void onReported(KnownPrimary reported) {
    if (reported.term() > failover.newestTerm(service)) {
      failover
          .targets()
          .find(reported.primary())
          .ifPresent(handle -> handle.recordPrimary(reported.term()));
    }
  }

  /**
   * Stops using a primary that another VM is about to replace, unless this VM reaches it.
   *
   * @param primary the identifier of the primary, or an empty text if the other VM knows none
   * @param requester the name of the VM that is about to replace it
   */
  ReleaseReply release(String primary, String requester) {
    Optional<TargetHandle> knownPrimary = failover.targets().primaryOf(service);
    if (knownPrimary.isPresent() && !knownPrimary.get().isGone(now())) {
      if (now() - knownPrimary.get().lastAnswerMs() > MAX_ANSWER_AGE_MS) {
        probe.probe(knownPrimary.get());
      }
      ownVote.onAsked();
      return ReleaseReply.refused(failover.vm());
    }
    LeaseContext leases = failover.leases();
    leases.release(service, primary, requester, successorsOf(primary), now());
    String known =
        knownPrimary.map(handle -> handle.target().id()).or(() -> lastPrimary).orElse("");
    if (known.equals(primary) && !requester.equals(failover.vm())) {
      turn.onReleased(requester, now());
    }
    return new ReleaseReply(
        failover.vm(), true, knowsAllGrants(), leases.grants().remainingMs(service, now()));
  }

  /** Records that another VM does not replace the primary that this VM has released to it. */
  void onWithdrawn(String requester) {
    turn.onWithdrawn(requester);
  }

  void onClockGap(long nowMs) {
    if (run != null) {
      run.onClockGap(nowMs);
    }
  }

  /**
   * Returns the targets that may be promoted in place of a primary. The other VM may not know yet
   * that the primary was replaced, so no target that claims the role counts as a successor.
   */
  private Set<String> successorsOf(String primary) {
    Set<String> ids = new HashSet<>();
    failover.targets().of(service).stream()
        .filter(handle -> !handle.isPrimary())
        .forEach(handle -> ids.add(handle.target().id()));
    ids.remove(primary);
    return ids;
  }

  /**
   * Returns whether this VM has had its seat for so long that leases which were granted from it
   * before, by another VM or by an earlier process, have expired.
   */
  private boolean knowsAllGrants() {
    OptionalLong seatAgeMs = failover.leases().voters().seatAgeMs();
    return seatAgeMs.isPresent() && seatAgeMs.getAsLong() >= PrimaryLeases.DURATION_MS;
  }

  private boolean isLeaseGranted(TargetHandle handle) {
    String id = handle.target().id();
    boolean beingReplaced =
        failover
            .store()
            .lease(service)
            .filter(lease -> lease.isHeld(now()) && lease.previous().equals(id))
            .isPresent();
    return !handle.isGone(now())
        && !inquiry.isInDoubt()
        && !ownVote.isGone()
        && !beingReplaced
        && !failover.leases().grants().isReleased(service, id, now());
  }

  private boolean isUsable(TargetHandle handle) {
    return !handle.isGone(now())
        && failover.leases().use().isAllowed(service, handle.target().id(), now());
  }

  private Vote vote(String primary, boolean gone) {
    return new Vote(failover.vm(), failover.failureDomain(), primary, gone);
  }

  /** Returns whether the primary is known and this VM may use it. */
  boolean reachesPrimary() {
    return failover.targets().primaryOf(service).filter(this::isUsable).isPresent();
  }

  private void updatePrimary(Optional<TargetHandle> primary) {
    Optional<String> id = primary.map(handle -> handle.target().id());
    if (id.isPresent() && !id.equals(lastPrimary)) {
      LOG.info("primary_found", "service", service, "target", id.get());
      lastPrimary = id;
      ownVote.clear();
      onReplacementNotNeeded();
      primaryFoundMs = now();
      awaitingFirstLease = true;
      inquiry.onPrimaryFound(primary.get());
      if (run != null && !inquiry.isInDoubt()) {
        run.complete(id.get());
      }
      onPrimaryFound.run();
    }
    if (primary.filter(this::isUsable).isPresent()) {
      awaitingFirstLease = false;
      failover.gate().releaseWaiting(service);
    } else if (awaitingFirstLease && primary.isPresent()) {
      awaitFirstLease();
    }
  }

  /** Lets statements wait for a short time for the lease on a primary that was just found. */
  private void awaitFirstLease() {
    if (now() - primaryFoundMs < FIRST_LEASE_MS) {
      failover.gate().expectPrimary(service, EXPECTED_LEASE_MS);
    } else {
      awaitingFirstLease = false;
      failover.gate().expectNoPrimary(service);
    }
  }

  private boolean checkWithoutPrimary() {
    if (lastPrimary.isEmpty() && failover.targets().of(service).isEmpty()) {
      return false;
    }
    inquiry.ask();
    String id = lastPrimary.orElse("");
    publishVote(id, true);
    replaceIfGranted(id, Optional.empty());
    return true;
  }

  private void updateVote(TargetHandle handle, boolean gone) {
    String primary = handle.target().id();
    OptionalLong reportAgeMs = votes.reportAgeMs(primary);
    boolean reportedGone = reportAgeMs.isPresent();
    reportAgeMs.ifPresent(ageMs -> ownVote.onReported(now() - ageMs));
    if (gone || ownVote.isGone()) {
      publishVote(primary, gone);
    } else if (reportedGone && now() - handle.lastAnswerMs() <= MAX_ANSWER_AGE_MS) {
      publishVote(primary, false);
    } else if (reportedGone) {
      probe.probe(handle);
    }
  }

  private void publishVote(String primary, boolean gone) {
    if (!ownVote.isDue(gone, now())) {
      return;
    }
    ownVote.onPublished(gone, now());
    LOG.info("primary_vote", "service", service, "primary", primary, "gone", gone);
    failover.store().publishVote(service, vote(primary, gone));
  }

  private void replaceIfGranted(String primary, Optional<TargetHandle> handle) {
    if (votes.decide(primary) == PreVote.Outcome.GRANTED) {
      long delayMs = failover.leases().use().needsLease() ? 0 : OBJECTION_WAIT_MS;
      startAfter(delayMs, "gone", handle, false);
    } else {
      earliestStartMs = Long.MIN_VALUE;
      turn.onNotGranted();
    }
  }

  private void onReplacementNotNeeded() {
    earliestStartMs = Long.MIN_VALUE;
    turn.clear();
    backoff.reset();
  }

  /** Checks the primary when it may be this VM's turn, outside the regular interval. */
  private void checkAfter(long delayMs) {
    if (!checkScheduled) {
      checkScheduled = true;
      failover.scheduler().schedule(delayMs, this::checkAsScheduled);
    }
  }

  private void checkAsScheduled() {
    checkScheduled = false;
    if (!failover.role().isForwarding()) {
      check();
    }
  }

  private void startAfter(
      long delayMs, String reason, Optional<TargetHandle> previousPrimary, boolean stepDownFirst) {
    if (earliestStartMs == Long.MIN_VALUE) {
      earliestStartMs = now() + delayMs;
    }
    boolean heldByOther =
        failover
            .store()
            .lease(service)
            .filter(lease -> lease.isHeld(now()) && !lease.holder().equals(failover.holder()))
            .isPresent();
    if (heldByOther) {
      failover.gate().onPromotionOrdered(service);
    }
    if (run != null && !run.isEnded()) {
      return;
    }
    String previous =
        previousPrimary.map(handle -> handle.target().id()).or(() -> lastPrimary).orElse("");
    int holders = failover.store().liveVms().size();
    boolean takesTurns = backoff.takesTurns(holders);
    int position = takesTurns && !stepDownFirst ? votes.startPosition(previous) : 0;
    boolean due = turn.isDue(position, takesTurns, heldByOther, now());
    if (!due && !heldByOther) {
      checkAfter(turn.waitMs(position, now()));
    }
    if (now() < earliestStartMs || !due) {
      return;
    }
    if (run != null && !backoff.isOver(run, holders, now())) {
      return;
    }
    backoff.onStarted();
    run =
        new FailoverRun(
            failover,
            service,
            reason,
            previousPrimary,
            previous,
            stepDownFirst,
            () -> release(previous, failover.vm()));
    run.start();
  }

  private long now() {
    return failover.scheduler().nowMs();
  }
}
