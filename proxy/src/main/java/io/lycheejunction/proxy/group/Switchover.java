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

/**
 * Performs planned switchovers: promotes another instance while the current primary still works.
 */
final class Switchover {
  /** The path of freeze requests. */
  static final String PATH = "/peer/freeze";

  private static final long MAX_FREEZE_MS = 1_500;
  private static final long INITIAL_CATCH_UP_TIMEOUT_MS = 1_000;
  private static final long FROZEN_CATCH_UP_TIMEOUT_MS = 300;
  private static final long POLL_INTERVAL_MS = 10;
  private static final long MIN_RETRY_DELAY_MS = 1_000;
  private static final long MAX_RETRY_DELAY_MS = 30_000;
  private static final long PEER_TIMEOUT_MS = 150;

  private final GroupProber prober;
  private final GroupStates states;
  private final StatusRounds rounds;
  private final Failover failover;
  private final Peers peers;
  private final PeerTransport transport;
  private final RuntimeClock clock;
  private final Fanout fanout;
  private final GroupSettings settings;
  private final Map<String, Retry> retries = new ConcurrentHashMap<>();

  private record Retry(long notBeforeMs, long delayMs) {}

  Switchover(
      GroupProber prober,
      GroupStates states,
      StatusRounds rounds,
      Failover failover,
      Peers peers,
      PeerTransport transport,
      RuntimeClock clock,
      Fanout fanout,
      GroupSettings settings) {
    this.prober = Objects.requireNonNull(prober, "prober is null");
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
   * Registers the handler for freeze requests.
   *
   * @param routes the routes to add the handler to
   */
  void register(PeerRoutes routes) {
    routes.add(PATH, FreezeCall.class, call -> Result.success(freeze(call)));
  }

  private FreezeCall freeze(FreezeCall call) {
    long durationMs = Math.min(call.durationMs(), MAX_FREEZE_MS);
    states.of(call.group()).freeze(call.term(), clock.monotonicMs() + durationMs);
    return call;
  }

  /** Starts a switchover for each group whose primary is leaving and held by this proxy. */
  void tick() {
    for (GroupSpec spec : prober.monitoredGroups()) {
      if (!isPrimaryLeaving(spec)) {
        retries.remove(spec.name());
        continue;
      }
      if (!isDue(spec)) {
        continue;
      }
      chooseCandidate(spec)
          .ifPresent(
              target ->
                  fanout.start(
                      "hand-over-" + spec.name(), () -> run(spec, target, "primary leaving")));
    }
  }

  private boolean isPrimaryLeaving(GroupSpec spec) {
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
    Retry retry = retries.getOrDefault(spec.name(), new Retry(nowMs, MIN_RETRY_DELAY_MS));
    if (nowMs < retry.notBeforeMs()) {
      return false;
    }
    long nextDelayMs = Math.min(2 * retry.delayMs(), MAX_RETRY_DELAY_MS);
    retries.put(spec.name(), new Retry(nowMs + retry.delayMs(), nextDelayMs));
    return true;
  }

  private Optional<String> chooseCandidate(GroupSpec spec) {
    GroupState state = states.of(spec.name());
    long nowMs = clock.monotonicMs();
    return state.statuses().values().stream()
        .filter(s -> spec.target(s.target()).isPresent())
        .filter(s -> !state.view().primary().equals(Optional.of(s.target())))
        .filter(s -> !isLeaving(spec, s.target()))
        .filter(s -> !state.failureDetector(s.target(), nowMs).isGone(nowMs))
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
   * Performs a planned switchover and returns the new view of the group.
   *
   * <p>Once the instance is close to the primary, new writes are refused; when it has then caught
   * up completely, it is promoted by a claim.
   *
   * @param spec the group
   * @param target the name of the instance
   * @param reason the reason of the promotion, for the log and reports
   * @return the view, or the fault that prevented the promotion; {@code NOT_FRESH} if the instance
   *     has not caught up in time
   */
  Result<GroupView> run(GroupSpec spec, String target, String reason) {
    GroupState state = states.of(spec.name());
    GroupView before = state.view();
    if (before.primary().equals(Optional.of(target))) {
      return Result.success(before);
    }
    if (!awaitCatchUp(spec, state, target, false, INITIAL_CATCH_UP_TIMEOUT_MS)) {
      return Result.failure(ResultCode.NOT_FRESH, target + " is too far behind the primary");
    }
    Result<FreezeCall> frozen = requestFreeze(spec, before, MAX_FREEZE_MS);
    if (frozen instanceof Result.Failure(var fault)) {
      return Result.failure(fault);
    }
    if (!awaitCatchUp(spec, state, target, true, FROZEN_CATCH_UP_TIMEOUT_MS)) {
      requestFreeze(spec, before, 0);
      return Result.failure(
          ResultCode.NOT_FRESH, target + " did not catch up with the primary in time");
    }
    return failover.promote(spec, target, reason);
  }

  private Result<FreezeCall> requestFreeze(GroupSpec spec, GroupView view, long durationMs) {
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
   * Waits until the instance has reached a position that the primary reported in an earlier round.
   *
   * @param frozen true if the primary's position must also be unchanged between two rounds
   * @return false if that has not happened before the timeout
   */
  private boolean awaitCatchUp(
      GroupSpec spec, GroupState state, String target, boolean frozen, long timeoutMs) {
    long deadlineMs = clock.monotonicMs() + timeoutMs;
    LogPosition primaryPosition = LogPosition.ORIGIN;
    while (clock.monotonicMs() < deadlineMs) {
      MajorityTally tally =
          rounds.run(
              spec,
              spec.targets(),
              state,
              Optional.empty(),
              t -> t.primary().isPresent() && t.statuses().containsKey(target),
              settings.probeTimeoutMs());
      Optional<LogPosition> latestPrimaryPosition =
          tally.confirmedPrimary().map(TargetStatus::received);
      LogPosition targetPosition =
          Optional.ofNullable(tally.statuses().get(target))
              .map(TargetStatus::received)
              .orElse(LogPosition.ORIGIN);
      boolean hasPrimaryPosition = !primaryPosition.equals(LogPosition.ORIGIN);
      boolean primaryStopped =
          !frozen || latestPrimaryPosition.equals(Optional.of(primaryPosition));
      if (hasPrimaryPosition && primaryStopped && targetPosition.isAtLeast(primaryPosition)) {
        return true;
      }
      primaryPosition =
          frozen || !hasPrimaryPosition
              ? latestPrimaryPosition.orElse(primaryPosition)
              : primaryPosition;
      if (!sleep()) {
        return false;
      }
    }
    return false;
  }

  private boolean sleep() {
    try {
      clock.sleepMs(POLL_INTERVAL_MS);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
