package io.lycheejunction.proxy.group;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.failover.PreVote;
import io.lycheejunction.core.failover.PrimaryLoss;
import io.lycheejunction.core.port.PeerTransport;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.routing.HolderChoice;
import io.lycheejunction.proxy.forward.PeerRoutes;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/** Asks the proxies that monitor a group from its failure domains whether its primary is gone. */
final class PreVotes {
  /** The path of pre-vote requests. */
  static final String PATH = "/peer/prevote";

  private static final long PEER_TIMEOUT_MS = 150;
  private static final long PROBE_TIMEOUT_MS = 50;

  private final ConfigurationSource configuration;
  private final GroupStates states;
  private final StatusRounds rounds;
  private final Peers peers;
  private final PeerTransport transport;
  private final RuntimeClock clock;
  private final Fanout fanout;
  private final long maxClaimMs;

  PreVotes(
      ConfigurationSource configuration,
      GroupStates states,
      StatusRounds rounds,
      Peers peers,
      PeerTransport transport,
      RuntimeClock clock,
      Fanout fanout,
      long maxClaimMs) {
    this.configuration = Objects.requireNonNull(configuration, "configuration is null");
    this.states = Objects.requireNonNull(states, "states is null");
    this.rounds = Objects.requireNonNull(rounds, "rounds is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.transport = Objects.requireNonNull(transport, "transport is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.fanout = Objects.requireNonNull(fanout, "fanout is null");
    this.maxClaimMs = maxClaimMs;
  }

  /**
   * Registers the handler for pre-vote requests.
   *
   * @param routes the routes to add the handler to
   */
  void register(PeerRoutes routes) {
    routes.add(PATH, PreVoteCall.class, call -> Result.success(answer(call)));
  }

  private PreVoteAnswer answer(PreVoteCall call) {
    String group = call.view().group();
    GroupState state = states.of(group);
    state.mergeView(call.view());
    Optional<GroupSpec> spec = configuration.current().group(group);
    boolean gone =
        spec.isPresent()
            && isPrimaryMissing(spec.get(), state)
            && state
                .claimGrant()
                .tryGrant(call.asker(), call.rank(), clock.monotonicMs(), maxClaimMs);
    return new PreVoteAnswer(gone, state.view());
  }

  /**
   * Returns whether the group has no working primary. Probes the primary first, or all instances if
   * no primary is known, unless it is already known to be gone.
   *
   * @param spec the group
   * @param state the state of the group, which the probes update
   * @return true if the primary is gone or there is none
   */
  boolean isPrimaryMissing(GroupSpec spec, GroupState state) {
    if (primaryState(spec, state) == PrimaryLoss.PrimaryState.GONE) {
      return true;
    }
    List<TargetSpec> targetsToProbe =
        state.view().primary().flatMap(spec::target).map(List::of).orElseGet(spec::targets);
    rounds.run(spec, targetsToProbe, state, Optional.empty(), tally -> false, PROBE_TIMEOUT_MS);
    return primaryState(spec, state) != PrimaryLoss.PrimaryState.PRESENT;
  }

  /**
   * Probes all instances in order to detect the claim of another proxy.
   *
   * @param spec the group
   * @param state the state of the group, which the probes update
   */
  void probeAll(GroupSpec spec, GroupState state) {
    rounds.run(spec, spec.targets(), state, Optional.empty(), t -> false, PROBE_TIMEOUT_MS);
  }

  /**
   * Returns the state of the group's primary as seen by this proxy.
   *
   * @param spec the group
   * @param state the state of the group
   * @return whether the primary is present, gone or vacant
   */
  PrimaryLoss.PrimaryState primaryState(GroupSpec spec, GroupState state) {
    return state.primaryState(spec, clock.monotonicMs());
  }

  /**
   * Requests votes and returns whether a majority of the failure domains, including this proxy's
   * own vote, see the primary gone and let this proxy claim.
   *
   * @param spec the group
   * @param rank the rank of this proxy among the candidates for the claim, from 0
   * @return true if granted; this proxy then refuses all other claims for the duration of a claim
   */
  boolean requestGrants(GroupSpec spec, int rank) {
    ClaimGrant own = states.of(spec.name()).claimGrant();
    String self = peers.self().name();
    if (!own.tryReserve(self, rank, clock.monotonicMs(), maxClaimMs)) {
      return false;
    }
    boolean granted =
        collectVotes(spec, rank) && own.tryConfirm(self, clock.monotonicMs(), maxClaimMs);
    if (!granted) {
      own.release(self);
    }
    return granted;
  }

  private boolean collectVotes(GroupSpec spec, int rank) {
    List<Vm> live = peers.live();
    AtomicReference<PreVote> votes = new AtomicReference<>(PreVote.of(spec));
    PreVoteCall message = new PreVoteCall(peers.self().name(), rank, states.of(spec.name()).view());
    List<Runnable> calls = new ArrayList<>();
    for (TargetSpec target : spec.targets()) {
      String voter = PreVote.voter(spec, target);
      Optional<Vm> watcher =
          HolderChoice.holderOf(target, live).filter(vm -> isWatcherOf(vm, voter, target));
      if (watcher.isEmpty()) {
        votes.updateAndGet(v -> v.cast(voter, false));
      } else if (watcher.get().name().equals(peers.self().name())) {
        votes.updateAndGet(v -> v.cast(voter, true));
      } else {
        calls.add(() -> requestVote(watcher.get(), message, voter, votes));
      }
    }
    if (votes.get().outcome() == PreVote.Outcome.OPEN) {
      fanout.run(calls, () -> votes.get().outcome() != PreVote.Outcome.OPEN);
    }
    return votes.get().outcome() == PreVote.Outcome.GRANTED;
  }

  private static boolean isWatcherOf(Vm vm, String voter, TargetSpec target) {
    return voter.equals(target.name()) || vm.failureDomain().equals(target.failureDomain());
  }

  private void requestVote(
      Vm watcher, PreVoteCall message, String voter, AtomicReference<PreVote> votes) {
    boolean gone =
        transport
            .call(watcher, PATH, message, PreVoteAnswer.class, PEER_TIMEOUT_MS)
            .map(this::mergeView)
            .fold(fault -> false, PreVoteAnswer::gone);
    votes.updateAndGet(v -> v.cast(voter, gone));
  }

  private PreVoteAnswer mergeView(PreVoteAnswer answer) {
    states.of(answer.view().group()).mergeView(answer.view());
    return answer;
  }
}
