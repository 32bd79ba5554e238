package io.lycheejunction.proxy.group;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.failover.Claim;
import io.lycheejunction.core.failover.PrimaryLoss;
import io.lycheejunction.core.group.GroupReport;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.routing.HolderChoice;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Promotes another instance when the primary of a watched group is gone. */
final class Failover {
  private static final EventLog LOG = EventLog.of(Failover.class);

  private final GroupProbe probe;
  private final GroupStates states;
  private final PreVotes preVotes;
  private final ClaimRun claims;
  private final GroupViews views;
  private final Peers peers;
  private final RuntimeClock clock;
  private final Fanout fanout;
  private final RandomGenerator random;
  private final GroupSettings settings;
  private final Map<String, ClaimTrack> tracks = new ConcurrentHashMap<>();

  Failover(
      GroupProbe probe,
      GroupStates states,
      PreVotes preVotes,
      ClaimRun claims,
      GroupViews views,
      Peers peers,
      RuntimeClock clock,
      Fanout fanout,
      RandomGenerator random,
      GroupSettings settings) {
    this.probe = Objects.requireNonNull(probe, "probe is null");
    this.states = Objects.requireNonNull(states, "states is null");
    this.preVotes = Objects.requireNonNull(preVotes, "preVotes is null");
    this.claims = Objects.requireNonNull(claims, "claims is null");
    this.views = Objects.requireNonNull(views, "views is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.fanout = Objects.requireNonNull(fanout, "fanout is null");
    this.random = Objects.requireNonNull(random, "random is null");
    this.settings = Objects.requireNonNull(settings, "settings is null");
  }

  /** Starts a claim for each watched group whose primary is gone and whose turn it is. */
  void tick() {
    for (GroupSpec spec : probe.watched()) {
      GroupState state = states.of(spec.name());
      PrimaryLoss.Sight sight = preVotes.sight(spec, state);
      long term = state.highestTerm();
      if (track(spec).tryStart(sight, term, rank(spec), clock.monotonicMs())) {
        fanout.start("claim-" + spec.name(), () -> replace(spec, sight, term));
      }
    }
  }

  private ClaimTrack track(GroupSpec spec) {
    return tracks.computeIfAbsent(spec.name(), name -> new ClaimTrack(settings.claimHoldMs()));
  }

  private int rank(GroupSpec spec) {
    List<Vm> live = peers.live();
    Optional<String> primary = states.of(spec.name()).view().primary();
    int rank = 0;
    for (TargetSpec target : spec.targets()) {
      if (primary.equals(Optional.of(target.name()))) {
        continue;
      }
      Optional<Vm> holder = HolderChoice.holderOf(target, live);
      if (holder.isPresent() && holder.get().name().equals(peers.self().name())) {
        return rank;
      }
      rank++;
    }
    return rank;
  }

  private void replace(GroupSpec spec, PrimaryLoss.Sight sight, long term) {
    guarded(
        spec,
        () -> {
          GroupState state = states.of(spec.name());
          if (preVotes.isGone(spec, state)
              && preVotes.isGranted(spec, rank(spec))
              && !isStale(spec, sight, term)) {
            return claim(spec, Optional.empty(), "primary " + sight.name());
          }
          track(spec).denied(clock.monotonicMs());
          return Result.failure(ResultCode.NO_PRIMARY, "the other failure domains disagree");
        });
  }

  private Result<GroupView> guarded(GroupSpec spec, Supplier<Result<GroupView>> body) {
    boolean ended = false;
    try {
      Result<GroupView> result = body.get();
      ended = true;
      return result;
    } finally {
      if (!ended) {
        track(spec).lost(clock.monotonicMs(), jitter());
      }
    }
  }

  private boolean isStale(GroupSpec spec, PrimaryLoss.Sight sight, long term) {
    GroupState state = states.of(spec.name());
    return state.highestTerm() > term || preVotes.sight(spec, state) != sight;
  }

  /**
   * Returns the view after a claim that the caller has been allowed by the group's track.
   *
   * @param spec the group
   * @param preferred the instance to promote if it holds every acknowledged write
   * @param reason why the claim is made
   * @return the view, or {@code TERM_TAKEN} if the claim was lost
   */
  private Result<GroupView> claim(GroupSpec spec, Optional<String> preferred, String reason) {
    GroupState state = states.of(spec.name());
    long startMs = clock.monotonicMs();
    long term = state.highestTerm() + 1;
    LOG.info("claim_started", "group", spec.name(), "term", term, "reason", reason);
    Claim start =
        Claim.start(
            spec, term, claimant(), preferred, settings.ackLeaseMs() + settings.clockMarginMs());
    return switch (claims.run(start).step()) {
      case Claim.Step.Won(TargetStatus primary) ->
          Result.success(won(spec, state, primary, reason, startMs));
      case Claim.Step.Lost(String why) -> lost(spec, term, why);
      case Claim.Step other -> lost(spec, term, "the claim did not end");
    };
  }

  private String claimant() {
    synchronized (random) {
      return peers.self().name() + "-" + Long.toHexString(random.nextLong());
    }
  }

  private double jitter() {
    synchronized (random) {
      return random.nextDouble();
    }
  }

  private GroupView won(
      GroupSpec spec, GroupState state, TargetStatus primary, String reason, long startMs) {
    long nowMs = clock.monotonicMs();
    state.answered(primary, nowMs);
    final GroupView view =
        state.learn(
            new GroupView(
                spec.name(), primary.term(), Optional.of(primary.target()), state.received()));
    track(spec)
        .won(
            new GroupReport.Promotion(
                primary.term(), primary.target(), reason, clock.wallMs(), nowMs - startMs),
            nowMs);
    LOG.info(
        "claim_won",
        "group",
        spec.name(),
        "term",
        primary.term(),
        "primary",
        primary.target(),
        "duration_ms",
        nowMs - startMs);
    views.publish(spec);
    return view;
  }

  private Result<GroupView> lost(GroupSpec spec, long term, String why) {
    GroupState state = states.of(spec.name());
    state.claimed(term);
    state.grant().release(peers.self().name());
    preVotes.look(spec, state);
    track(spec).lost(clock.monotonicMs(), jitter());
    LOG.warn("claim_lost", "group", spec.name(), "term", term, "reason", why);
    return Result.failure(ResultCode.TERM_TAKEN, why);
  }

  /**
   * Returns the view after a planned promotion of an instance.
   *
   * @param spec the group
   * @param target the name of the instance
   * @param reason why it is promoted
   * @return the view, or {@code TERM_TAKEN} if another promotion of the group is under way
   */
  Result<GroupView> promote(GroupSpec spec, String target, String reason) {
    ClaimTrack track = track(spec);
    if (!track.tryStart(clock.monotonicMs())) {
      return Result.failure(
          ResultCode.TERM_TAKEN, "another promotion of group " + spec.name() + " is under way");
    }
    return guarded(spec, () -> claim(spec, Optional.of(target), reason));
  }

  /**
   * Returns the last promotion of the group that this proxy ordered.
   *
   * @param group the name of the group
   * @return the promotion, or empty if there was none
   */
  Optional<GroupReport.Promotion> last(String group) {
    return Optional.ofNullable(tracks.get(group)).flatMap(ClaimTrack::last);
  }
}
