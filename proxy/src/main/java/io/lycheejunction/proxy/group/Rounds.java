package io.lycheejunction.proxy.group;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.group.MajorityTally;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.TargetPort;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/** Asks the instances of a group for their status and records what the answers prove. */
final class Rounds {
  private static final String REFUSED = "refused";

  private final TargetPort targets;
  private final Peers peers;
  private final RuntimeClock clock;
  private final Fanout fanout;

  Rounds(TargetPort targets, Peers peers, RuntimeClock clock, Fanout fanout) {
    this.targets = Objects.requireNonNull(targets, "targets is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.fanout = Objects.requireNonNull(fanout, "fanout is null");
  }

  /**
   * Returns the answers of one round, which ends early once they are enough; later ones are still
   * recorded.
   *
   * @param spec the group
   * @param asked the instances to ask
   * @param state receives what the answers prove
   * @param awaited the position that the instances wait for before they answer, if any
   * @param isEnough tells whether the round may end
   * @param timeoutMs the time to wait for each answer, in milliseconds
   * @return the answers
   */
  MajorityTally run(
      GroupSpec spec,
      List<TargetSpec> asked,
      GroupState state,
      Optional<LogPosition> awaited,
      Predicate<MajorityTally> isEnough,
      long timeoutMs) {
    Round round = new Round(spec, state, clock.monotonicMs());
    List<Runnable> tasks =
        asked.stream().<Runnable>map(t -> () -> ask(t, round, awaited, timeoutMs)).toList();
    fanout.run(tasks, () -> isEnough.test(round.tally()));
    return round.tally();
  }

  private void ask(TargetSpec target, Round round, Optional<LogPosition> awaited, long timeoutMs) {
    long sentMs = clock.monotonicMs();
    round.state.asked(target.name(), sentMs);
    Result<TargetStatus> answer =
        awaited.isPresent()
            ? targets.awaitReceived(target, awaited.get(), timeoutMs)
            : targets.status(target, timeoutMs);
    switch (answer) {
      case Result.Success(TargetStatus status) -> {
        peers.targetSays(status.target(), status.leaving());
        round.answered(status, clock.monotonicMs());
      }
      case Result.Failure(Fault fault) -> {
        if (isRefused(fault)) {
          round.state.refused(target.name(), sentMs);
        }
      }
    }
  }

  private static boolean isRefused(Fault fault) {
    return fault.code() == ResultCode.TARGET_UNREACHABLE && fault.detail().startsWith(REFUSED);
  }

  private static final class Round {
    private final GroupSpec spec;
    private final GroupState state;
    private final long startMs;
    private final Map<String, TargetStatus> answers = new ConcurrentHashMap<>();

    private Round(GroupSpec spec, GroupState state, long startMs) {
      this.spec = spec;
      this.state = state;
      this.startMs = startMs;
    }

    private void answered(TargetStatus status, long nowMs) {
      answers.put(status.target(), status);
      state.answered(status, nowMs);
      state.proved(tally(), startMs);
    }

    private MajorityTally tally() {
      return MajorityTally.of(spec, answers.values());
    }
  }
}
