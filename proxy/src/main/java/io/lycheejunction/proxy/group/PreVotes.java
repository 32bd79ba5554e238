package io.lycheejunction.proxy.group;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.failover.PreVote;
import io.lycheejunction.core.failover.PrimaryLoss;
import io.lycheejunction.core.group.GroupView;
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

  PreVotes(
      ConfigurationSource configuration,
      GroupStates states,
      Rounds rounds,
      Peers peers,
      PeerTransport transport,
      RuntimeClock clock,
      Fanout fanout) {
    this.configuration = Objects.requireNonNull(configuration, "configuration is null");
    this.states = Objects.requireNonNull(states, "states is null");
    this.rounds = Objects.requireNonNull(rounds, "rounds is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.transport = Objects.requireNonNull(transport, "transport is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.fanout = Objects.requireNonNull(fanout, "fanout is null");
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
    boolean gone = spec.isPresent() && isGone(spec.get(), state);
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
   * Returns whether a majority of the failure domains see the primary gone, with this proxy's own
   * vote for it.
   *
   * @param spec the group
   * @return true if so
   */
  boolean isGranted(GroupSpec spec) {
    List<Vm> live = peers.live();
    AtomicReference<PreVote> votes = new AtomicReference<>(PreVote.of(spec));
    GroupView view = states.of(spec.name()).view();
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
        calls.add(() -> call(watcher.get(), view, voter, votes));
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

  private void call(Vm watcher, GroupView view, String voter, AtomicReference<PreVote> votes) {
    boolean gone =
        transport
            .call(watcher, PATH, new PreVoteCall(view), PreVoteAnswer.class, PEER_TIMEOUT_MS)
            .map(this::learn)
            .fold(fault -> false, PreVoteAnswer::gone);
    votes.updateAndGet(v -> v.cast(voter, gone));
  }

  private PreVoteAnswer learn(PreVoteAnswer answer) {
    states.of(answer.view().group()).learn(answer.view());
    return answer;
  }
}
