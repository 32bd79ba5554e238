package io.lycheejunction.gateway.failover;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.failover.PreVote;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.target.TargetHandle;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Watches the primary of one service, and starts to replace it when it is gone or leaves. */
final class ServiceWatch {
  private static final EventLog LOG = EventLog.of(ServiceWatch.class);
  private static final long REPEAT_VOTE_MS = 1_000;
  private static final long LEAVING_SPREAD_MS = 300;
  private static final long ASK_INTERVAL_MS = 300;

  /** When targets are asked who leads although a primary is known, in milliseconds. */
  private static final long GONE_FOR_LONG_MS = 1_500;

  private static final long NOT_GONE = Long.MAX_VALUE;

  /**
   * How long a VM that does not reach a leaving primary leaves its replacement to those that do, in
   * milliseconds: they can tell it to step down first, so that no commit is lost.
   */
  private static final long OTHERS_FIRST_MS = 1_000;

  /** How long VMs that still reach the primary have to say so, in milliseconds. */
  private static final long OBJECTION_MS = 100;

  private static final long FRESH_ANSWER_MS = 250;
  private static final long ASK_TIMEOUT_MS = 250;

  private final Failover failover;
  private final String service;
  private final long jitterMs;
  private final Electorate electorate;
  private final PrimaryProbe probe;
  private Optional<String> lastPrimary = Optional.empty();
  private Optional<Boolean> lastVote = Optional.empty();
  private long lastVoteMs;
  private long lastAskMs = Long.MIN_VALUE / 2;
  private boolean asking;
  private long startableFromMs = Long.MIN_VALUE;
  private long goneSinceMs = NOT_GONE;
  private FailoverRun run;

  ServiceWatch(Failover failover, String service) {
    this.failover = failover;
    this.service = service;
    this.electorate = new Electorate(failover, service);
    this.probe = new PrimaryProbe(failover, service);
    this.jitterMs = Math.floorMod((failover.vm() + '/' + service).hashCode(), LEAVING_SPREAD_MS);
  }

  /** Looks at the primary; returns true if the next look should come soon. */
  boolean look() {
    Optional<TargetHandle> primary = failover.targets().primaryOf(service);
    notePrimary(primary);
    if (primary.isEmpty()) {
      return lookWithoutPrimary();
    }
    TargetHandle handle = primary.get();
    probe.askIfDue(handle);
    boolean gone = handle.isGone(now());
    boolean canStepDown = handle.target().leaving() || !gone;
    if (failover.targets().isLeaving(handle) && canStepDown) {
      long delayMs = gone ? jitterMs + OTHERS_FIRST_MS : jitterMs;
      startOnceAfter(delayMs, "leaving", primary, true);
      return true;
    }
    voteOn(handle, gone);
    if (gone) {
      handle
          .pool()
          .refuseWaiting(Fault.of(ResultCode.TARGET_UNREACHABLE, "the primary does not answer"));
      askWhenGoneForLong();
      decide(handle.target().id(), primary);
      return true;
    }
    goneSinceMs = NOT_GONE;
    startableFromMs = Long.MIN_VALUE;
    return handle.isDoubtful(now());
  }

  /**
   * Returns what this VM sees of a primary, for another VM that asks.
   *
   * @param primary the identifier of the primary
   * @return the vote, or empty if it can't tell yet
   */
  Optional<Vote> answerAbout(String primary) {
    Optional<TargetHandle> known = failover.targets().primaryOf(service);
    if (known.isEmpty()) {
      return Optional.of(ownVote(primary, true));
    }
    TargetHandle handle = known.get();
    if (handle.isGone(now())) {
      return Optional.of(ownVote(handle.target().id(), true));
    }
    if (now() - handle.lastAnswerMs() <= FRESH_ANSWER_MS) {
      return Optional.of(ownVote(handle.target().id(), false));
    }
    probe.ask(handle);
    return Optional.empty();
  }

  private Vote ownVote(String primary, boolean gone) {
    return new Vote(failover.vm(), failover.failureDomain(), primary, gone);
  }

  /** Returns whether the primary is known and answers. */
  boolean reachesPrimary() {
    return failover
        .targets()
        .primaryOf(service)
        .filter(handle -> !handle.isGone(now()))
        .isPresent();
  }

  private void notePrimary(Optional<TargetHandle> primary) {
    Optional<String> id = primary.map(handle -> handle.target().id());
    if (id.isPresent() && !id.equals(lastPrimary)) {
      LOG.info("primary_found", "service", service, "target", id.get());
      lastPrimary = id;
      lastVote = Optional.empty();
      startableFromMs = Long.MIN_VALUE;
      if (run != null) {
        run.succeeded(id.get());
      }
    }
    if (primary.isPresent() && !primary.get().isGone(now())) {
      failover.gate().open(service);
    }
  }

  private boolean lookWithoutPrimary() {
    if (lastPrimary.isEmpty() && failover.targets().of(service).isEmpty()) {
      return false;
    }
    askForPrimary();
    String id = lastPrimary.orElse("");
    vote(id, true);
    decide(id, Optional.empty());
    return true;
  }

  /** Another VM may have replaced the primary while the store tells nobody of it. */
  private void askWhenGoneForLong() {
    if (goneSinceMs == NOT_GONE) {
      goneSinceMs = now();
    }
    if (now() - goneSinceMs >= GONE_FOR_LONG_MS) {
      askForPrimary();
    }
  }

  /** Asks all targets who leads, since a promotion may not have been heard of. */
  private void askForPrimary() {
    if (asking || now() - lastAskMs < ASK_INTERVAL_MS) {
      return;
    }
    asking = true;
    lastAskMs = now();
    StatusRound.start(
        failover.scheduler(),
        failover.links(),
        failover.targets().of(service),
        new TargetCommand.AskStatus(),
        ASK_TIMEOUT_MS,
        this::onStatuses);
  }

  private void onStatuses(List<Candidate> answers) {
    asking = false;
    answers.stream()
        .filter(Candidate::primary)
        .max(Comparator.comparingLong(Candidate::term))
        .ifPresent(
            leader -> {
              LOG.info(
                  "primary_asked",
                  "service",
                  service,
                  "target",
                  leader.handle().target().id(),
                  "term",
                  leader.term());
              leader.handle().leads(leader.term());
              look();
            });
  }

  private void voteOn(TargetHandle handle, boolean gone) {
    String primary = handle.target().id();
    boolean asked = electorate.isDoubtedByOthers(primary);
    if (gone || lastVote.equals(Optional.of(true))) {
      vote(primary, gone);
    } else if (asked && now() - handle.lastAnswerMs() <= FRESH_ANSWER_MS) {
      vote(primary, false);
    } else if (asked) {
      probe.ask(handle);
    }
  }

  private void vote(String primary, boolean gone) {
    boolean changed = !lastVote.equals(Optional.of(gone));
    if (!changed && now() - lastVoteMs < REPEAT_VOTE_MS) {
      return;
    }
    lastVote = Optional.of(gone);
    lastVoteMs = now();
    LOG.info("primary_vote", "service", service, "primary", primary, "gone", gone);
    failover.board().vote(service, ownVote(primary, gone));
  }

  private void decide(String primary, Optional<TargetHandle> handle) {
    if (electorate.judge(primary) == PreVote.Outcome.GRANTED) {
      startOnceAfter(OBJECTION_MS, "gone", handle, false);
    } else {
      startableFromMs = Long.MIN_VALUE;
    }
  }

  private void startOnceAfter(
      long delayMs, String reason, Optional<TargetHandle> previous, boolean stepsDown) {
    if (startableFromMs == Long.MIN_VALUE) {
      startableFromMs = now() + delayMs;
    }
    boolean heldByOther =
        failover
            .board()
            .lease(service)
            .filter(lease -> lease.isHeld(now()) && !lease.holder().equals(failover.holder()))
            .isPresent();
    if (heldByOther) {
      failover.gate().ordered(service);
    }
    if (now() < startableFromMs || heldByOther || run != null && !run.isEnded()) {
      return;
    }
    run = new FailoverRun(failover, service, reason, previous, stepsDown);
    run.start();
  }

  private long now() {
    return failover.scheduler().nowMs();
  }
}
