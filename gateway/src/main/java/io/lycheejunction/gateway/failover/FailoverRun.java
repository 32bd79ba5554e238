package io.lycheejunction.gateway.failover;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.target.TargetHandle;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Replaces the primary of one service: takes the lease, chooses the target that has received most,
 * and orders its promotion under the lease's fencing token.
 *
 * <p>Each order for another target is made under a new token, so that an earlier order that the
 * platform carries out late is refused by then. A primary that still answers is told to step down
 * first, and its successor catches up, so that no acknowledged commit is lost.
 */
final class FailoverRun {
  private static final EventLog LOG = EventLog.of(FailoverRun.class);
  private static final long STATUS_TIMEOUT_MS = 200;
  private static final long STEP_DOWN_TIMEOUT_MS = 300;
  private static final long CATCH_UP_MS = 600;
  private static final long CATCH_UP_STEP_MS = 25;
  private static final long TOKEN_FRESH_MS = 1_000;
  private static final long REPEAT_MS = 200;
  private static final int MAX_ORDERS = 5;
  private static final long PROMOTION_TIMEOUT_MS = 4_000;

  private final Failover failover;
  private final String service;
  private final String reason;
  private final Optional<TargetHandle> previous;
  private final boolean stepsDown;
  private final Set<String> rejected = new HashSet<>();
  private final List<Candidate> answered = new ArrayList<>();
  private long token;
  private long tokenTakenMs;
  private long startedMs;
  private long orderedMs;
  private int orders;
  private boolean ended;
  private LogPosition mustHave = LogPosition.ORIGIN;

  FailoverRun(
      Failover failover,
      String service,
      String reason,
      Optional<TargetHandle> previous,
      boolean stepsDown) {
    this.failover = failover;
    this.service = service;
    this.reason = reason;
    this.previous = previous;
    this.stepsDown = stepsDown;
  }

  void start() {
    startedMs = now();
    takeToken(this::begin);
  }

  boolean isEnded() {
    return ended;
  }

  /** Ends the run, since the service has a primary. */
  void succeeded(String primary) {
    if (!ended) {
      if (orders > 0) {
        failover.gate().promoted(now() - orderedMs);
      }
      end("promoted " + primary);
    }
  }

  private void takeToken(Runnable next) {
    failover
        .board()
        .takeLease(
            service,
            failover.holder(),
            previous.map(handle -> handle.target().id()).orElse(""),
            claim -> {
              switch (claim) {
                case FailoverBoard.Claim.Held held -> {
                  token = held.token();
                  tokenTakenMs = now();
                  LOG.info(
                      "failover_lease_taken", "service", service, "token", token, "reason", reason);
                  next.run();
                }
                case FailoverBoard.Claim.Missed missed -> end("no lease: " + missed.reason());
              }
            });
  }

  private void begin() {
    if (stepsDown && previous.isPresent()) {
      stepDown(previous.get());
    } else {
      choose();
    }
  }

  private void stepDown(TargetHandle primary) {
    StatusRound.start(
        failover.scheduler(),
        failover.links(),
        List.of(primary),
        new TargetCommand.StepDown(nextTerm()),
        STEP_DOWN_TIMEOUT_MS,
        answers -> {
          answers.forEach(answer -> mustHave = mustHave.max(answer.received()));
          LOG.info(
              "primary_stepped_down",
              "service",
              service,
              "target",
              primary.target().id(),
              "answered",
              !answers.isEmpty(),
              "position",
              mustHave);
          choose();
        });
  }

  private void choose() {
    if (ended) {
      return;
    }
    List<TargetHandle> candidates = new ArrayList<>();
    for (TargetHandle handle : failover.targets().of(service)) {
      boolean isPrevious = previous.isPresent() && previous.get() == handle;
      if (!isPrevious
          && !failover.targets().isLeaving(handle)
          && !rejected.contains(handle.target().id())) {
        candidates.add(handle);
      }
    }
    StatusRound.start(
        failover.scheduler(),
        failover.links(),
        candidates,
        question(),
        STATUS_TIMEOUT_MS,
        this::onStatuses);
  }

  /**
   * Returns what candidates are asked.
   *
   * <p>Where commits are acknowledged after replicas have received them, replicas stop receiving
   * with the question, so that nothing more is acknowledged once enough of them have answered.
   */
  private TargetCommand question() {
    return isSynchronous()
        ? new TargetCommand.StopReceiving(nextTerm())
        : new TargetCommand.AskStatus();
  }

  private boolean isSynchronous() {
    return failover.targets().syncReplicasOf(service) > 0;
  }

  private long nextTerm() {
    return Math.max(1, failover.positions().of(service).newestTerm() + 1);
  }

  private void onStatuses(List<Candidate> answers) {
    if (ended) {
      return;
    }
    answered.addAll(answers);
    Optional<Candidate> leader = answers.stream().filter(Candidate::primary).findFirst();
    if (leader.isPresent()) {
      leader.get().handle().leads(leader.get().term());
      end("another target leads already");
      return;
    }
    Optional<Candidate> best = answers.stream().max(Candidate.BY_POSITION);
    logCandidates(answers, best);
    boolean enough = answers.size() >= neededAnswers();
    boolean behind = best.isEmpty() || !best.get().received().isAtLeast(mustHave);
    if ((!enough || behind) && now() - startedMs < CATCH_UP_MS) {
      failover.scheduler().schedule(CATCH_UP_STEP_MS, this::choose);
    } else if (enough) {
      order(best.get().handle());
    } else {
      end("too few candidates answer");
    }
  }

  /** Returns how many replicas must answer, so that every acknowledged commit is among theirs. */
  private int neededAnswers() {
    if (!isSynchronous()) {
      return 1;
    }
    int replicas = failover.targets().of(service).size() - 1;
    return Math.max(1, replicas - failover.targets().syncReplicasOf(service) + 1);
  }

  private void logCandidates(List<Candidate> answers, Optional<Candidate> best) {
    LOG.info(
        "failover_candidates",
        "service",
        service,
        "answers",
        answers.size(),
        "needed",
        neededAnswers(),
        "best",
        best.map(candidate -> candidate.handle().target().id()).orElse("-"),
        "received",
        best.map(candidate -> candidate.received().toString()).orElse("-"),
        "must_have",
        mustHave);
  }

  private void order(TargetHandle chosen) {
    if (now() - tokenTakenMs > TOKEN_FRESH_MS) {
      takeToken(() -> order(chosen));
      return;
    }
    if (ended) {
      return;
    }
    orders++;
    orderedMs = now();
    failover.gate().ordered(service);
    LOG.info(
        "promotion_ordered",
        "service",
        service,
        "target",
        chosen.target().id(),
        "token",
        token,
        "reason",
        reason,
        "since_start_ms",
        now() - startedMs);
    failover
        .orders()
        .promote(chosen.target(), failover.holder(), token, outcome -> onOutcome(chosen, outcome));
  }

  private void onOutcome(TargetHandle chosen, PromotionOrders.Outcome outcome) {
    LOG.info(
        "promotion_answered",
        "service",
        service,
        "target",
        chosen.target().id(),
        "token",
        token,
        "outcome",
        outcome);
    if (ended) {
      return;
    }
    switch (outcome) {
      case PromotionOrders.Outcome.Accepted accepted ->
          failover.scheduler().schedule(PROMOTION_TIMEOUT_MS, () -> end("no primary registered"));
      case PromotionOrders.Outcome.Rejected no -> {
        rejected.add(chosen.target().id());
        orderAgain(() -> takeToken(this::choose));
      }
      case PromotionOrders.Outcome.Unknown unknown -> orderAgain(() -> order(chosen));
    }
  }

  private void orderAgain(Runnable next) {
    if (orders >= MAX_ORDERS) {
      end("too many orders");
      return;
    }
    failover
        .scheduler()
        .schedule(
            REPEAT_MS,
            () -> {
              if (!ended) {
                next.run();
              }
            });
  }

  /** Undoes the order to stop receiving, for replicas that were not promoted. */
  private void letReceiveAgain() {
    Set<TargetHandle> stopped = new HashSet<>();
    answered.forEach(candidate -> stopped.add(candidate.handle()));
    StatusRound.start(
        failover.scheduler(),
        failover.links(),
        List.copyOf(stopped),
        new TargetCommand.ReceiveAgain(),
        STATUS_TIMEOUT_MS,
        answers -> {});
  }

  private void end(String outcome) {
    if (!ended) {
      ended = true;
      if (isSynchronous()) {
        letReceiveAgain();
      }
      LOG.info(
          "failover_ended",
          "service",
          service,
          "reason",
          reason,
          "outcome",
          outcome,
          "took_ms",
          now() - startedMs);
    }
  }

  private long now() {
    return failover.scheduler().nowMs();
  }
}
