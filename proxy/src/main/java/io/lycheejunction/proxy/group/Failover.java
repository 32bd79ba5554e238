package io.lycheejunction.proxy.group;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.failover.PrimaryLoss;
import io.lycheejunction.core.failover.TermClaim;
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

/** Promotes another instance when the primary of a monitored group is gone. */
final class Failover {
  private static final EventLog LOG = EventLog.of(Failover.class);

  private final GroupProber prober;
  private final GroupStates states;
  private final PreVotes preVotes;
  private final ClaimExecutor claimExecutor;
  private final GroupViewExchange viewExchange;
  private final Peers peers;
  private final RuntimeClock clock;
  private final Fanout fanout;
  private final RandomGenerator random;
  private final GroupSettings settings;
  private final Map<String, ClaimSchedule> schedules = new ConcurrentHashMap<>();

  Failover(
      GroupProber prober,
      GroupStates states,
      PreVotes preVotes,
      ClaimExecutor claimExecutor,
      GroupViewExchange viewExchange,
      Peers peers,
      RuntimeClock clock,
      Fanout fanout,
      RandomGenerator random,
      GroupSettings settings) {
    this.prober = Objects.requireNonNull(prober, "prober is null");
    this.states = Objects.requireNonNull(states, "states is null");
    this.preVotes = Objects.requireNonNull(preVotes, "preVotes is null");
    this.claimExecutor = Objects.requireNonNull(claimExecutor, "claimExecutor is null");
    this.viewExchange = Objects.requireNonNull(viewExchange, "viewExchange is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.fanout = Objects.requireNonNull(fanout, "fanout is null");
    this.random = Objects.requireNonNull(random, "random is null");
    this.settings = Objects.requireNonNull(settings, "settings is null");
  }

  /**
   * Starts a claim for each monitored group whose primary is gone, if this proxy is due to claim.
   */
  void tick() {
    for (GroupSpec spec : prober.monitoredGroups()) {
      GroupState state = states.of(spec.name());
      PrimaryLoss.PrimaryState primaryState = preVotes.primaryState(spec, state);
      long term = state.highestTerm();
      if (schedule(spec).tryStartIfDue(primaryState, term, rank(spec), clock.monotonicMs())) {
        fanout.start("claim-" + spec.name(), () -> replacePrimary(spec, primaryState, term));
      }
    }
  }

  private ClaimSchedule schedule(GroupSpec spec) {
    return schedules.computeIfAbsent(spec.name(), name -> new ClaimSchedule(settings.maxClaimMs()));
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

  private void replacePrimary(GroupSpec spec, PrimaryLoss.PrimaryState primaryState, long term) {
    recordLossOnException(
        spec,
        () -> {
          GroupState state = states.of(spec.name());
          if (preVotes.isPrimaryMissing(spec, state)
              && preVotes.requestGrants(spec, rank(spec))
              && !hasChanged(spec, primaryState, term)) {
            return claim(spec, Optional.empty(), "primary " + primaryState.name());
          }
          schedule(spec).recordDenied(clock.monotonicMs());
          return Result.failure(
              ResultCode.NO_PRIMARY, "the pre-vote was denied or the group has changed since");
        });
  }

  private Result<GroupView> recordLossOnException(
      GroupSpec spec, Supplier<Result<GroupView>> promotion) {
    boolean completed = false;
    try {
      Result<GroupView> result = promotion.get();
      completed = true;
      return result;
    } finally {
      if (!completed) {
        schedule(spec).recordLost(clock.monotonicMs(), jitter());
      }
    }
  }

  private boolean hasChanged(GroupSpec spec, PrimaryLoss.PrimaryState primaryState, long term) {
    GroupState state = states.of(spec.name());
    return state.highestTerm() > term || preVotes.primaryState(spec, state) != primaryState;
  }

  /**
   * Claims the group and returns its new view. The caller must have started the claim with the
   * group's {@link ClaimSchedule}.
   *
   * @param spec the group
   * @param preferred the instance to promote if it has received every acknowledged write
   * @param reason the reason of the claim, for the log and reports
   * @return the view, or {@code TERM_TAKEN} if the claim was lost
   */
  private Result<GroupView> claim(GroupSpec spec, Optional<String> preferred, String reason) {
    GroupState state = states.of(spec.name());
    long startMs = clock.monotonicMs();
    long term = state.highestTerm() + 1;
    LOG.info("claim_started", "group", spec.name(), "term", term, "reason", reason);
    TermClaim start =
        TermClaim.start(
            spec, term, claimant(), preferred, settings.ackLeaseMs() + settings.clockMarginMs());
    return switch (claimExecutor.run(start).step()) {
      case TermClaim.Step.Won(TargetStatus primary) ->
          Result.success(recordWon(spec, state, primary, reason, startMs));
      case TermClaim.Step.Lost(String lossReason) -> recordLost(spec, term, lossReason);
      case TermClaim.Step other -> recordLost(spec, term, "the claim ended in an unexpected step");
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

  private GroupView recordWon(
      GroupSpec spec, GroupState state, TargetStatus primary, String reason, long startMs) {
    long nowMs = clock.monotonicMs();
    state.recordAnswer(primary, nowMs);
    final GroupView view =
        state.mergeView(
            new GroupView(
                spec.name(),
                primary.term(),
                Optional.of(primary.target()),
                state.majorityReceived()));
    schedule(spec)
        .recordWon(
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
    viewExchange.publish(spec);
    return view;
  }

  private Result<GroupView> recordLost(GroupSpec spec, long term, String lossReason) {
    GroupState state = states.of(spec.name());
    state.recordLostClaim(term);
    state.claimGrant().release(peers.self().name());
    preVotes.probeAll(spec, state);
    schedule(spec).recordLost(clock.monotonicMs(), jitter());
    LOG.warn("claim_lost", "group", spec.name(), "term", term, "reason", lossReason);
    return Result.failure(ResultCode.TERM_TAKEN, lossReason);
  }

  /**
   * Promotes an instance and returns the new view of the group.
   *
   * @param spec the group
   * @param target the name of the instance
   * @param reason the reason of the promotion, for the log and reports
   * @return the view, or {@code TERM_TAKEN} if another promotion of the group is in progress or the
   *     claim was lost
   */
  Result<GroupView> promote(GroupSpec spec, String target, String reason) {
    ClaimSchedule schedule = schedule(spec);
    if (!schedule.tryStart(clock.monotonicMs())) {
      return Result.failure(
          ResultCode.TERM_TAKEN, "another promotion of group " + spec.name() + " is in progress");
    }
    return recordLossOnException(spec, () -> claim(spec, Optional.of(target), reason));
  }

  /**
   * Returns the last promotion in the group that this proxy carried out.
   *
   * @param group the name of the group
   * @return the promotion, or empty if there was none
   */
  Optional<GroupReport.Promotion> lastPromotion(String group) {
    return Optional.ofNullable(schedules.get(group)).flatMap(ClaimSchedule::lastPromotion);
  }
}
