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

/** Asks the watchers in a group's failure domains whether they too see its primary gone. */
final class PreVotes {
  /** The path of the messages. */
  static final String PATH = "/peer/prevote";

  private static final long PEER_TIMEOUT_MS = 150;
  private static final long PROBE_TIMEOUT_MS = 50;

  private final ConfigurationSource configuration;
  private final GroupStates states;
  private final Rounds rounds;
  private final Peers peers;
  private final PeerTransport transport;
  private final RuntimeClock clock;
  private final Fanout fanout;
  private final long holdMs;

  PreVotes(
      ConfigurationSource configuration,
      GroupStates states,
      Rounds rounds,
      Peers peers,
      PeerTransport transport,
      RuntimeClock clock,
      Fanout fanout,
      long holdMs) {
    this.configuration = Objects.requireNonNull(configuration, "configuration is null");
    this.states = Objects.requireNonNull(states, "states is null");
    this.rounds = Objects.requireNonNull(rounds, "rounds is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.transport = Objects.requireNonNull(transport, "transport is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.fanout = Objects.requireNonNull(fanout, "fanout is null");
    this.holdMs = holdMs;
  }

  /**
   * Adds the handler of pre-votes.
   *
   * @param routes receives the handler
   */
  void register(PeerRoutes routes) {
    routes.add(PATH, PreVoteCall.class, call -> Result.success(answer(call)));
  }

  private PreVoteAnswer answer(PreVoteCall call) {
    String group = call.view().group();
    GroupState state = states.of(group);
    state.learn(call.view());
    Optional<GroupSpec> spec = configuration.current().group(group);
    boolean gone =
        spec.isPresent()
            && isGone(spec.get(), state)
            && state.grant().give(call.asker(), call.rank(), clock.monotonicMs(), holdMs);
    return new PreVoteAnswer(gone, state.view());
  }

  /**
   * Returns whether this proxy sees no primary, after it has asked the instances unless the primary
   * is already known to be gone.
   *
   * @param spec the group
   * @param state what is known of the group
   * @return true if the primary is gone or there is none
   */
  boolean isGone(GroupSpec spec, GroupState state) {
    if (sight(spec, state) == PrimaryLoss.Sight.GONE) {
      return true;
    }
    List<TargetSpec> asked =
        state.view().primary().flatMap(spec::target).map(List::of).orElseGet(spec::targets);
    rounds.run(spec, asked, state, Optional.empty(), tally -> false, PROBE_TIMEOUT_MS);
    return sight(spec, state) != PrimaryLoss.Sight.PRESENT;
  }

  /**
   * Asks all instances, so that the claim of another proxy is seen.
   *
   * @param spec the group
   * @param state receives what the answers prove
   */
  void look(GroupSpec spec, GroupState state) {
    rounds.run(spec, spec.targets(), state, Optional.empty(), t -> false, PROBE_TIMEOUT_MS);
  }

  /**
   * Returns what this proxy sees of the group's primary.
   *
   * @param spec the group
   * @param state what is known of the group
   * @return the sight
   */
  PrimaryLoss.Sight sight(GroupSpec spec, GroupState state) {
    return state.sight(spec, clock.monotonicMs());
  }

  /**
   * Returns whether a majority of the failure domains see the primary gone and let this proxy
   * claim, with its own vote for it.
   *
   * @param spec the group
   * @param rank the place of this proxy among those that may claim, from 0
   * @return true if so; then nobody else is let claim for the time of a claim
   */
  boolean isGranted(GroupSpec spec, int rank) {
    ClaimGrant own = states.of(spec.name()).grant();
    String self = peers.self().name();
    if (!own.reserve(self, rank, clock.monotonicMs(), holdMs)) {
      return false;
    }
    boolean granted = ask(spec, rank) && own.hold(self, clock.monotonicMs(), holdMs);
    if (!granted) {
      own.release(self);
    }
    return granted;
  }

  private boolean ask(GroupSpec spec, int rank) {
    List<Vm> live = peers.live();
    AtomicReference<PreVote> votes = new AtomicReference<>(PreVote.of(spec));
    PreVoteCall message = new PreVoteCall(peers.self().name(), rank, states.of(spec.name()).view());
    List<Runnable> calls = new ArrayList<>();
    for (TargetSpec target : spec.targets()) {
      String voter = PreVote.voter(spec, target);
      Optional<Vm> watcher =
          HolderChoice.holderOf(target, live).filter(vm -> votesFor(vm, voter, target));
      if (watcher.isEmpty()) {
        votes.updateAndGet(v -> v.cast(voter, false));
      } else if (watcher.get().name().equals(peers.self().name())) {
        votes.updateAndGet(v -> v.cast(voter, true));
      } else {
        calls.add(() -> call(watcher.get(), message, voter, votes));
      }
    }
    if (votes.get().outcome() == PreVote.Outcome.OPEN) {
      fanout.run(calls, () -> votes.get().outcome() != PreVote.Outcome.OPEN);
    }
    return votes.get().outcome() == PreVote.Outcome.GRANTED;
  }

  private static boolean votesFor(Vm vm, String voter, TargetSpec target) {
    return voter.equals(target.name()) || vm.failureDomain().equals(target.failureDomain());
  }

  private void call(Vm watcher, PreVoteCall message, String voter, AtomicReference<PreVote> votes) {
    boolean gone =
        transport
            .call(watcher, PATH, message, PreVoteAnswer.class, PEER_TIMEOUT_MS)
            .map(this::learn)
            .fold(fault -> false, PreVoteAnswer::gone);
    votes.updateAndGet(v -> v.cast(voter, gone));
  }

  private PreVoteAnswer learn(PreVoteAnswer answer) {
    states.of(answer.view().group()).learn(answer.view());
    return answer;
  }
}
