package io.lycheejunction.gateway.failover;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.dispatch.DispatchFixture;
import io.lycheejunction.gateway.lease.LeaseClient;
import io.lycheejunction.gateway.lease.LeaseContext;
import io.lycheejunction.gateway.lease.LeaseGrants;
import io.lycheejunction.gateway.lease.LeaseReply;
import io.lycheejunction.gateway.lease.LeaseVoters;
import io.lycheejunction.gateway.lease.PrimaryLeases;
import io.lycheejunction.gateway.lease.PrimaryUse;
import io.lycheejunction.gateway.lease.ReleaseReply;
import io.lycheejunction.gateway.lease.VoterSet;
import io.lycheejunction.gateway.link.FakeLinks.FakeLink;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.peer.PeerAnswer;
import io.lycheejunction.gateway.target.Target;
import io.lycheejunction.gateway.target.TargetHandle;
import io.lycheejunction.gateway.target.TestTargets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Runs failover on VM vm-b, beside vm-a and vm-c, for the group of {@link DispatchFixture}. */
final class FailoverFixture {

  private static final long FIRST_TOKEN = 10;

  /** A promotion order and the callback for its result. */
  record Order(
      String target, long token, BooleanSupplier maySend, Consumer<PromotionOrders.Outcome> done) {}

  /** A store whose votes and lease are set by the test. */
  static final class FakeStore implements FailoverStore {
    final List<Vote> votes = new ArrayList<>();
    final List<Vote> ownVotes = new ArrayList<>();
    final Map<String, String> liveVms =
        new HashMap<>(Map.of("vm-a", "domain-i-1", "vm-b", "domain-i-2", "vm-c", "domain-i-3"));
    Optional<Lease> lease = Optional.empty();
    boolean reachable = true;
    boolean leaseTaken;

    /** Whether leases are granted without an answer; {@link #answerLeases} delivers the answers. */
    boolean withholdsLeases;

    private final List<Runnable> withheldLeases = new ArrayList<>();
    boolean failNextRead;

    /** Whether votes are written, but none is read, since the connection has gone silent. */
    boolean feedSilent;

    long oldestCurrentToken;
    long nextToken = FIRST_TOKEN;

    /** Returns whether the VM under test has acquired the lease. */
    boolean hasLease() {
      return nextToken > FIRST_TOKEN;
    }

    @Override
    public void publishVote(String service, Vote vote) {
      ownVotes.add(vote);
      votes.removeIf(known -> known.vm().equals(vote.vm()));
      votes.add(vote);
    }

    @Override
    public List<Vote> votes(String service) {
      if (failNextRead) {
        failNextRead = false;
        throw new IllegalStateException("unexpected");
      }
      return feedSilent ? List.of() : votes;
    }

    @Override
    public Map<String, String> liveVms() {
      return liveVms;
    }

    @Override
    public boolean isReachable() {
      return reachable;
    }

    @Override
    public Optional<Lease> lease(String service) {
      return lease;
    }

    @Override
    public boolean isCurrent(long token) {
      return token >= oldestCurrentToken;
    }

    @Override
    public void acquireLease(
        String service, String holder, String previous, Consumer<LeaseResult> done) {
      LeaseResult result =
          leaseTaken ? new LeaseResult.NotAcquired("taken") : new LeaseResult.Acquired(nextToken++);
      if (withholdsLeases) {
        withheldLeases.add(() -> done.accept(result));
      } else {
        done.accept(result);
      }
    }

    /** Delivers the answers that were withheld, and withholds none from now on. */
    void answerLeases() {
      withholdsLeases = false;
      List<Runnable> answers = List.copyOf(withheldLeases);
      withheldLeases.clear();
      answers.forEach(Runnable::run);
    }
  }

  /** Requests for leases and releases that the test answers. */
  static final class FakeLeaseClient implements LeaseClient {
    final Map<String, ReleaseReply> releases = new HashMap<>();
    final List<String> askedToRelease = new ArrayList<>();

    /** The VMs whose requests are not answered before their time limit. */
    final Set<String> unanswered = new HashSet<>();

    Runnable onRelease = () -> {};
    final List<String> toldToResume = new ArrayList<>();

    @Override
    public void resume(String vm, String service) {
      toldToResume.add(vm);
    }

    @Override
    public void renew(String vm, Consumer<PeerAnswer<LeaseReply>> done) {
      done.accept(new PeerAnswer.Silent<>());
    }

    @Override
    public void release(
        String vm, String service, String primary, Consumer<PeerAnswer<ReleaseReply>> done) {
      askedToRelease.add(vm);
      onRelease.run();
      if (unanswered.contains(vm)) {
        return;
      }
      ReleaseReply reply = releases.get(vm);
      done.accept(reply == null ? new PeerAnswer.Silent<>() : new PeerAnswer.Replied<>(reply));
    }
  }

  /** The three VMs of the fixture. */
  static final class FakeVoters implements LeaseVoters {
    OptionalLong seatAgeMs = OptionalLong.of(PrimaryLeases.DURATION_MS);
    long ageMs;
    int refreshes;

    @Override
    public VoterSet voters() {
      return VoterSet.of(Map.of("vm-a", "domain-i-1", "vm-b", "domain-i-2", "vm-c", "domain-i-3"));
    }

    @Override
    public OptionalLong seatAgeMs() {
      return seatAgeMs;
    }

    @Override
    public long ageMs() {
      return ageMs;
    }

    @Override
    public void refresh() {
      refreshes++;
    }
  }

  final DispatchFixture group;
  final FakeStore store = new FakeStore();
  final FakeLeaseClient leaseClient = new FakeLeaseClient();
  final LeaseGrants grants;
  final FakeVoters voters = new FakeVoters();
  final List<Order> orders = new ArrayList<>();
  final List<String> askedVms = new ArrayList<>();
  final Map<String, PeerAnswer<Vote>> answers = new HashMap<>();
  final FailoverContext failover;
  final PrimaryWatch watch;
  boolean withholdAnswers;

  /** Creates a group whose replaced primary refuses all work. */
  FailoverFixture() {
    this(new PrimaryUse.Unrestricted());
  }

  /** Creates a group. */
  FailoverFixture(PrimaryUse use) {
    group = new DispatchFixture(use);
    grants = new LeaseGrants();
    failover =
        new FailoverContext(
            "vm-b",
            "vm-b-1",
            "domain-i-2",
            group.scheduler,
            group.targets,
            group.positions,
            group.links,
            store,
            new LeaseContext(use, grants, leaseClient, voters),
            this::requestVote,
            group.role,
            this::promote,
            group.gate);
    watch = new PrimaryWatch(failover);
  }

  private void requestVote(
      String vm, String service, String primary, Consumer<PeerAnswer<Vote>> done) {
    askedVms.add(vm);
    if (!withholdAnswers) {
      done.accept(answers.getOrDefault(vm, new PeerAnswer.Silent<>()));
    }
  }

  private void promote(
      PromotionOrders.Order order,
      BooleanSupplier maySend,
      Consumer<PromotionOrders.Outcome> done) {
    orders.add(new Order(order.target().id(), order.token(), maySend, done));
  }

  /** Returns a registered target. */
  TargetHandle handle(String id) {
    return group.targets.find(id).orElseThrow();
  }

  /** Replaces all registrations, and checks the primaries. */
  void register(Target... targets) {
    group.targets.update(List.of(targets));
    watch.checkPrimaries();
  }

  /** Drops all connections to a target, which refuses new ones. */
  void refuseConnections(String id) {
    List.copyOf(group.links.to(id)).forEach(FakeLink::drop);
    Fault refused = Fault.of(ResultCode.TARGET_UNREACHABLE, "refused");
    handle(id).connectFailed(refused, group.scheduler.nowMs());
  }

  /** Lets another VM release the primary at once when it is asked. */
  void releaseAtOnce(String vm) {
    leaseClient.releases.put(vm, new ReleaseReply(vm, true, true, Map.of()));
  }

  /** Adds votes of both other VMs on the primary i-1. */
  void othersVote(boolean gone) {
    store.votes.add(new Vote("vm-a", "domain-i-1", "i-1", gone));
    store.votes.add(new Vote("vm-c", "domain-i-3", "i-1", gone));
  }

  /** Removes the primary's registration from the store. */
  void unregisterPrimary() {
    group.targets.update(
        List.of(TestTargets.target("i-2", false, 2), TestTargets.target("i-3", false, 3)));
  }

  /** Drops all connections to the primary, so that it counts as gone. */
  void crashPrimary() {
    group.links.to("i-1").forEach(link -> link.drop());
    watch.checkPrimaries();
    group.scheduler.advanceMs(1_100);
    group.links.to("i-1").forEach(link -> link.drop());
    watch.checkPrimaries();
  }

  /** Answers the pending status command of a replica. */
  void answerStatus(String id, long offset) {
    var link = group.links.last(id);
    if (link.unanswered().isEmpty()) {
      link.greet();
    }
    link.done(TransactionState.NONE, 1, offset);
  }

  /** Answers all pending commands of a replica and returns them. */
  List<TargetCommand> answerAll(String id, long offset) {
    List<TargetCommand> answered = new ArrayList<>();
    for (FakeLink link : group.links.to(id)) {
      while (!link.unanswered().isEmpty()) {
        answered.add(link.done(TransactionState.NONE, 1, offset));
      }
    }
    return answered;
  }
}
