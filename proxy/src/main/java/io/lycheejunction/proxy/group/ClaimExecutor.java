package io.lycheejunction.proxy.group;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.failover.TermClaim;
import io.lycheejunction.core.port.TargetPort;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/** Executes a claim: fences the instances of the group, waits for the lease and promotes one. */
final class ClaimExecutor {
  private static final int MAX_PROMOTE_ATTEMPTS = 3;

  private final TargetPort targets;
  private final RuntimeClock clock;
  private final Fanout fanout;
  private final long timeoutMs;

  ClaimExecutor(TargetPort targets, RuntimeClock clock, Fanout fanout, long timeoutMs) {
    this.targets = Objects.requireNonNull(targets, "targets is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.fanout = Objects.requireNonNull(fanout, "fanout is null");
    this.timeoutMs = timeoutMs;
  }

  /**
   * Executes the claim and returns it once it is won or lost.
   *
   * @param start the claim, at its first step
   * @return the claim, at step {@code Won} or {@code Lost}
   */
  TermClaim run(TermClaim start) {
    AtomicReference<TermClaim> claim = new AtomicReference<>(start);
    fenceAll(claim);
    while (true) {
      switch (claim.get().step()) {
        case TermClaim.Step.Fencing() -> {
          return claim.updateAndGet(c -> abandon(c, "fencing ended without a decision"));
        }
        case TermClaim.Step.WaitingOutLease(long untilMs) -> waitUntil(claim, untilMs);
        case TermClaim.Step.Promoting(String target) -> promote(claim, target);
        case TermClaim.Step.Won won -> {
          return claim.get();
        }
        case TermClaim.Step.Lost lost -> {
          return claim.get();
        }
      }
    }
  }

  private void fenceAll(AtomicReference<TermClaim> claim) {
    List<Runnable> tasks = new ArrayList<>();
    for (TargetSpec target : fencingOrder(claim.get())) {
      tasks.add(() -> fence(claim, target));
    }
    boolean fenceAllTargets = claim.get().preferred().isPresent();
    fanout.run(
        tasks, () -> !fenceAllTargets && !(claim.get().step() instanceof TermClaim.Step.Fencing));
  }

  private static List<TargetSpec> fencingOrder(TermClaim claim) {
    Optional<TargetSpec> preferred = claim.preferred().flatMap(claim.spec()::target);
    List<TargetSpec> ordered = new ArrayList<>();
    preferred.ifPresent(ordered::add);
    claim.spec().targets().stream().filter(t -> !ordered.contains(t)).forEach(ordered::add);
    return ordered;
  }

  private void fence(AtomicReference<TermClaim> claim, TargetSpec target) {
    TermClaim current = claim.get();
    Result<TargetStatus> answer =
        targets.fence(target, current.term(), current.claimant(), timeoutMs);
    TermClaim.Event event =
        answer.fold(
            fault -> new TermClaim.Event.NotFenced(target.name(), fault.detail()),
            status -> new TermClaim.Event.Fenced(status, clock.monotonicMs()));
    claim.updateAndGet(c -> c.apply(event));
  }

  private void waitUntil(AtomicReference<TermClaim> claim, long untilMs) {
    try {
      long remainingMs = untilMs - clock.monotonicMs();
      if (remainingMs > 0) {
        clock.sleepMs(remainingMs);
      }
      long nowMs = clock.monotonicMs();
      claim.updateAndGet(c -> c.apply(new TermClaim.Event.Elapsed(nowMs)));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      claim.updateAndGet(c -> abandon(c, "interrupted"));
    }
  }

  private void promote(AtomicReference<TermClaim> claim, String target) {
    TermClaim current = claim.get();
    TargetSpec spec = current.spec().target(target).orElseThrow();
    String reason = "the instance answered for another term";
    for (int i = 0; i < MAX_PROMOTE_ATTEMPTS; i++) {
      switch (targets.promote(spec, current.term(), current.claimant(), timeoutMs)) {
        case Result.Success(TargetStatus status) -> {
          claim.updateAndGet(c -> c.apply(new TermClaim.Event.Promoted(status)));
          i = MAX_PROMOTE_ATTEMPTS;
        }
        case Result.Failure(Fault fault) -> {
          reason = fault.detail();
          if (fault.code() == ResultCode.TERM_TAKEN) {
            i = MAX_PROMOTE_ATTEMPTS;
          }
        }
      }
    }
    TermClaim.Event event = new TermClaim.Event.NotPromoted(reason);
    claim.updateAndGet(c -> c.apply(event));
  }

  private static TermClaim abandon(TermClaim claim, String reason) {
    return claim.apply(new TermClaim.Event.Abandoned(reason));
  }
}
