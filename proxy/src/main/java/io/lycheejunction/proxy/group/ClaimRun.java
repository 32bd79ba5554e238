package io.lycheejunction.proxy.group;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.failover.Claim;
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

/** Carries one claim out against the instances of its group. */
final class ClaimRun {
  private static final int MAX_PROMOTE_TRIES = 3;

  private final TargetPort targets;
  private final RuntimeClock clock;
  private final Fanout fanout;
  private final long timeoutMs;

  ClaimRun(TargetPort targets, RuntimeClock clock, Fanout fanout, long timeoutMs) {
    this.targets = Objects.requireNonNull(targets, "targets is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.fanout = Objects.requireNonNull(fanout, "fanout is null");
    this.timeoutMs = timeoutMs;
  }

  /**
   * Returns the claim once it is won or lost.
   *
   * @param start the claim
   * @return the claim at its end
   */
  Claim run(Claim start) {
    AtomicReference<Claim> claim = new AtomicReference<>(start);
    fenceAll(claim);
    while (true) {
      switch (claim.get().step()) {
        case Claim.Step.Fencing() -> {
          return claim.updateAndGet(c -> lost(c, "the fences did not end"));
        }
        case Claim.Step.WaitingOutLease(long untilMs) -> waitUntil(claim, untilMs);
        case Claim.Step.Promoting(String target) -> promote(claim, target);
        case Claim.Step.Won won -> {
          return claim.get();
        }
        case Claim.Step.Lost lost -> {
          return claim.get();
        }
      }
    }
  }

  private void fenceAll(AtomicReference<Claim> claim) {
    List<Runnable> tasks = new ArrayList<>();
    for (TargetSpec target : order(claim.get())) {
      tasks.add(() -> fence(claim, target));
    }
    boolean all = claim.get().preferred().isPresent();
    fanout.run(tasks, () -> !all && !(claim.get().step() instanceof Claim.Step.Fencing));
  }

  private static List<TargetSpec> order(Claim claim) {
    Optional<TargetSpec> preferred = claim.preferred().flatMap(claim.spec()::target);
    List<TargetSpec> ordered = new ArrayList<>();
    preferred.ifPresent(ordered::add);
    claim.spec().targets().stream().filter(t -> !ordered.contains(t)).forEach(ordered::add);
    return ordered;
  }

  private void fence(AtomicReference<Claim> claim, TargetSpec target) {
    Claim asked = claim.get();
    Result<TargetStatus> answer = targets.fence(target, asked.term(), asked.claimant(), timeoutMs);
    Claim.Event event =
        answer.fold(
            fault -> new Claim.Event.NotFenced(target.name(), fault.detail()),
            status -> new Claim.Event.Fenced(status, clock.monotonicMs()));
    claim.updateAndGet(c -> c.on(event));
  }

  private void waitUntil(AtomicReference<Claim> claim, long untilMs) {
    try {
      long remainingMs = untilMs - clock.monotonicMs();
      if (remainingMs > 0) {
        clock.sleepMs(remainingMs);
      }
      long nowMs = clock.monotonicMs();
      claim.updateAndGet(c -> c.on(new Claim.Event.Elapsed(nowMs)));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      claim.updateAndGet(c -> lost(c, "interrupted"));
    }
  }

  private void promote(AtomicReference<Claim> claim, String target) {
    Claim asked = claim.get();
    TargetSpec spec = asked.spec().target(target).orElseThrow();
    String reason = "the instance answered for another term";
    for (int i = 0; i < MAX_PROMOTE_TRIES; i++) {
      switch (targets.promote(spec, asked.term(), asked.claimant(), timeoutMs)) {
        case Result.Success(TargetStatus status) -> {
          claim.updateAndGet(c -> c.on(new Claim.Event.Promoted(status)));
          i = MAX_PROMOTE_TRIES;
        }
        case Result.Failure(Fault fault) -> {
          reason = fault.detail();
          if (fault.code() == ResultCode.TERM_TAKEN) {
            i = MAX_PROMOTE_TRIES;
          }
        }
      }
    }
    Claim.Event event = new Claim.Event.NotPromoted(reason);
    claim.updateAndGet(c -> c.on(event));
  }

  private static Claim lost(Claim claim, String reason) {
    return claim.on(new Claim.Event.Abandoned(reason));
  }
}
