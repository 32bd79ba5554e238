package io.lycheejunction.proxy.group;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.group.MajorityTally;
import io.lycheejunction.core.port.PeerTransport;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.routing.HolderChoice;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.forward.PeerRoutes;
import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** Makes another instance the primary while the present one still works. */
final class HandOver {
  /** The path of the messages. */
  static final String PATH = "/peer/freeze";

  private static final long FREEZE_MS = 1_500;
  private static final long CLOSE_MS = 1_000;
  private static final long CATCH_UP_MS = 300;
  private static final long POLL_MS = 10;
  private static final long RETRY_MS = 1_000;
  private static final long LONGEST_RETRY_MS = 30_000;
  private static final long PEER_TIMEOUT_MS = 150;

  private final GroupProbe probe;
  private final GroupStates states;
  private final Rounds rounds;
  private final Failover failover;
  private final Peers peers;
  private final PeerTransport transport;
  private final RuntimeClock clock;
  private final Fanout fanout;
  private final GroupSettings settings;
  private final Map<String, Retry> retries = new ConcurrentHashMap<>();

  private record Retry(long notBeforeMs, long pauseMs) {}

  HandOver(
      GroupProbe probe,
      GroupStates states,
      Rounds rounds,
      Failover failover,
      Peers peers,
      PeerTransport transport,
      RuntimeClock clock,
      Fanout fanout,
      GroupSettings settings) {
    this.probe = Objects.requireNonNull(probe, "probe is null");
    this.states = Objects.requireNonNull(states, "states is null");
    this.rounds = Objects.requireNonNull(rounds, "rounds is null");
    this.failover = Objects.requireNonNull(failover, "failover is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.transport = Objects.requireNonNull(transport, "transport is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.fanout = Objects.requireNonNull(fanout, "fanout is null");
    this.settings = Objects.requireNonNull(settings, "settings is null");
  }

  /**
   * Adds the handler of freezes.
   *
   * @param routes receives the handler
   */
  void register(PeerRoutes routes) {
    routes.add(PATH, FreezeCall.class, call -> Result.success(freeze(call)));
  }

  private FreezeCall freeze(FreezeCall call) {
    long durationMs = Math.min(call.durationMs(), FREEZE_MS);
    states.of(call.group()).freeze(call.term(), clock.monotonicMs() + durationMs);
    return call;
  }

  /** Starts a hand-over for each group whose primary is leaving and held by this proxy. */
  void tick() {
    for (GroupSpec spec : probe.watched()) {
      if (!isLeaving(spec)) {
        retries.remove(spec.name());
        continue;
      }
      if (!isDue(spec)) {
        continue;
      }
      candidate(spec)
          .ifPresent(
              target ->
                  fanout.start(
                      "hand-over-" + spec.name(), () -> run(spec, target, "primary leaving")));
    }
  }

  private boolean isLeaving(GroupSpec spec) {
    Optional<String> primary = states.of(spec.name()).view().primary();
    return primary.isPresent()
        && isLeaving(spec, primary.get())
        && holder(spec, primary.get()).filter(this::isSelf).isPresent();
  }

  private boolean isLeaving(GroupSpec spec, String target) {
    return spec.drained().contains(target) || peers.isLeaving(target);
  }

  private boolean isDue(GroupSpec spec) {
    long nowMs = clock.monotonicMs();
    Retry retry = retries.getOrDefault(spec.name(), new Retry(nowMs, RETRY_MS));
    if (nowMs < retry.notBeforeMs()) {
      return false;
    }
    long nextPauseMs = Math.min(2 * retry.pauseMs(), LONGEST_RETRY_MS);
    retries.put(spec.name(), new Retry(nowMs + retry.pauseMs(), nextPauseMs));
    return true;
  }

  private Optional<String> candidate(GroupSpec spec) {
    GroupState state = states.of(spec.name());
    long nowMs = clock.monotonicMs();
    return state.statuses().values().stream()
        .filter(s -> spec.target(s.target()).isPresent())
        .filter(s -> !state.view().primary().equals(Optional.of(s.target())))
        .filter(s -> !isLeaving(spec, s.target()))
        .filter(s -> !state.suspicion(s.target(), nowMs).isGone(nowMs))
        .max(Comparator.comparing(TargetStatus::received).thenComparing(TargetStatus::target))
        .map(TargetStatus::target);
  }

  private Optional<Vm> holder(GroupSpec spec, String target) {
    return spec.target(target).flatMap(t -> HolderChoice.holderOf(t, peers.live()));
  }

  private boolean isSelf(Vm vm) {
    return vm.name().equals(peers.self().name());
  }

  /**
   * Returns the view after a planned promotion: once the instance is close to the primary new
   * writes are refused, the instance catches up, and a claim is made for it.
   *
   * @param spec the group
   * @param target the name of the instance
   * @param reason why it is promoted
   * @return the view, or why the instance was not promoted
   */
  Result<GroupView> run(GroupSpec spec, String target, String reason) {
    GroupState state = states.of(spec.name());
    GroupView before = state.view();
    if (before.primary().equals(Optional.of(target))) {
      return Result.success(before);
    }
    if (!catchUp(spec, state, target, false, CLOSE_MS)) {
      return Result.failure(ResultCode.NOT_FRESH, target + " is behind");
    }
    Result<FreezeCall> frozen = freezeAtHolder(spec, before, FREEZE_MS);
    if (frozen instanceof Result.Failure(var fault)) {
      return Result.failure(fault);
    }
    if (!catchUp(spec, state, target, true, CATCH_UP_MS)) {
      freezeAtHolder(spec, before, 0);
      return Result.failure(ResultCode.NOT_FRESH, target + " has not caught up in time");
    }
    return failover.promote(spec, target, reason);
  }

  private Result<FreezeCall> freezeAtHolder(GroupSpec spec, GroupView view, long durationMs) {
    FreezeCall call = new FreezeCall(spec.name(), view.term(), durationMs);
    Optional<Vm> holder = view.primary().flatMap(primary -> holder(spec, primary));
    if (holder.isEmpty()) {
      return Result.failure(ResultCode.NO_PRIMARY, "no primary of " + spec.name() + " is known");
    }
    return isSelf(holder.get())
        ? Result.success(freeze(call))
        : transport.call(holder.get(), PATH, call, FreezeCall.class, PEER_TIMEOUT_MS);
  }

  /**
   * Returns whether the instance reaches a position that the primary had at an earlier round.
   *
   * @param frozen true if the primary's position must also stand still between two rounds
   */
  private boolean catchUp(
      GroupSpec spec, GroupState state, String target, boolean frozen, long timeoutMs) {
    long untilMs = clock.monotonicMs() + timeoutMs;
    LogPosition seen = LogPosition.ORIGIN;
    while (clock.monotonicMs() < untilMs) {
      MajorityTally tally =
          rounds.run(
              spec,
              spec.targets(),
              state,
              Optional.empty(),
              t -> t.primary().isPresent() && t.statuses().containsKey(target),
              settings.probeTimeoutMs());
      Optional<LogPosition> end = tally.confirmedPrimary().map(TargetStatus::received);
      LogPosition reached =
          Optional.ofNullable(tally.statuses().get(target))
              .map(TargetStatus::received)
              .orElse(LogPosition.ORIGIN);
      boolean known = !seen.equals(LogPosition.ORIGIN);
      boolean stands = !frozen || end.equals(Optional.of(seen));
      if (known && stands && reached.isAtLeast(seen)) {
        return true;
      }
      seen = frozen || !known ? end.orElse(seen) : seen;
      if (!sleep()) {
        return false;
      }
    }
    return false;
  }

  private boolean sleep() {
    try {
      clock.sleepMs(POLL_MS);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
