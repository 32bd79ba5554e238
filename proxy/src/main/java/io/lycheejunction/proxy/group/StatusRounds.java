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

/** Runs status rounds: asks instances of a group for their status and records the answers. */
final class StatusRounds {
  private static final String REFUSED_PREFIX = "refused";

  private final TargetPort targets;
  private final Peers peers;
  private final RuntimeClock clock;
  private final Fanout fanout;

  StatusRounds(TargetPort targets, Peers peers, RuntimeClock clock, Fanout fanout) {
    this.targets = Objects.requireNonNull(targets, "targets is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.fanout = Objects.requireNonNull(fanout, "fanout is null");
  }

  /**
   * Runs one round and returns its answers. The round ends early once the answers suffice; answers
   * that arrive later are still recorded in the group's state.
   *
   * @param spec the group
   * @param targetsToAsk the instances to ask
   * @param state the state of the group, which the answers update
   * @param awaitedPosition the position that an instance must have received before it answers, if
   *     any
   * @param isEnough returns true if the answers so far suffice
   * @param timeoutMs the timeout of each request, in milliseconds
   * @return the answers so far
   */
  MajorityTally run(
      GroupSpec spec,
      List<TargetSpec> targetsToAsk,
      GroupState state,
      Optional<LogPosition> awaitedPosition,
      Predicate<MajorityTally> isEnough,
      long timeoutMs) {
    Round round = new Round(spec, state, clock.monotonicMs());
    List<Runnable> tasks =
        targetsToAsk.stream()
            .<Runnable>map(t -> () -> ask(t, round, awaitedPosition, timeoutMs))
            .toList();
    fanout.run(tasks, () -> isEnough.test(round.tally()));
    return round.tally();
  }

  private void ask(
      TargetSpec target, Round round, Optional<LogPosition> awaitedPosition, long timeoutMs) {
    long sentMs = clock.monotonicMs();
    round.state.recordRequest(target.name(), sentMs);
    Result<TargetStatus> answer =
        awaitedPosition.isPresent()
            ? targets.awaitReceived(target, awaitedPosition.get(), timeoutMs)
            : targets.status(target, timeoutMs);
    switch (answer) {
      case Result.Success(TargetStatus status) -> {
        peers.recordTargetLeaving(status.target(), status.leaving());
        round.recordAnswer(status, clock.monotonicMs());
      }
      case Result.Failure(Fault fault) -> {
        if (isConnectionRefused(fault)) {
          round.state.recordRefusedConnection(target.name(), sentMs);
        }
      }
    }
  }

  private static boolean isConnectionRefused(Fault fault) {
    return fault.code() == ResultCode.TARGET_UNREACHABLE
        && fault.detail().startsWith(REFUSED_PREFIX);
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

    private void recordAnswer(TargetStatus status, long nowMs) {
      answers.put(status.target(), status);
      state.recordAnswer(status, nowMs);
      state.recordRound(tally(), startMs);
    }

    private MajorityTally tally() {
      return MajorityTally.of(spec, answers.values());
    }
  }
}
