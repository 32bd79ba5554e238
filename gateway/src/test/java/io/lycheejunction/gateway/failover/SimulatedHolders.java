package io.lycheejunction.gateway.failover;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.dispatch.PrimaryGate;
import io.lycheejunction.gateway.dispatch.ServicePositions;
import io.lycheejunction.gateway.holder.Role;
import io.lycheejunction.gateway.lease.LeaseClient;
import io.lycheejunction.gateway.lease.LeaseContext;
import io.lycheejunction.gateway.lease.LeaseGrants;
import io.lycheejunction.gateway.lease.LeaseReply;
import io.lycheejunction.gateway.lease.LeaseVoters;
import io.lycheejunction.gateway.lease.PrimaryLeases;
import io.lycheejunction.gateway.lease.PrimaryUse;
import io.lycheejunction.gateway.lease.ReleaseReply;
import io.lycheejunction.gateway.lease.VoterSet;
import io.lycheejunction.gateway.link.FakeLinks;
import io.lycheejunction.gateway.link.FakeLinks.FakeLink;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.peer.PeerAnswer;
import io.lycheejunction.gateway.schedule.ManualScheduler;
import io.lycheejunction.gateway.schedule.Scheduler;
import io.lycheejunction.gateway.target.Target;
import io.lycheejunction.gateway.target.Targets;
import io.lycheejunction.gateway.target.TestTargets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** The holders of some failure domains, whose messages take time and may be lost or late. */
final class SimulatedHolders {
  private static final long STORE_MS = 8;
  private static final long STORE_TIMEOUT_MS = 400;
  private static final long PROMOTION_MS = 300;
  private static final long STEP_MS = 2;

  final ManualScheduler clock = new ManualScheduler();
  final Map<String, Node> nodes = new HashMap<>();
  final List<String> orders = new ArrayList<>();

  /** The VMs that have asked others for a release, in the order of their first request. */
  final List<String> askers = new ArrayList<>();

  /** How long a VM is busy with one message of another VM. */
  long serviceMs = 1;

  /** Called for each request for a release, with the name of the VM that asks. */
  Consumer<String> onReleaseRequest = vm -> {};

  /** How long a VM does not read the store after a read that only repeats votes. */
  long readPauseMs = 50;

  /** The polls of the store that were answered with votes, on all VMs. */
  int answeredPolls;

  final SimulatedNetwork network;
  final SimulatedStore store = new SimulatedStore();
  private final VoterSet voters;
  private final Random random;
  private boolean promoted;

  SimulatedHolders(int domains, int holdersPerDomain, long seed) {
    random = new Random(seed);
    network = new SimulatedNetwork(clock, random);
    Map<String, String> seats = new HashMap<>();
    Map<String, Integer> seatsByDomain = new HashMap<>();
    for (int domain = 1; domain <= domains; domain++) {
      seats.put("vm-" + domain + "-1", "domain-i-" + domain);
      seatsByDomain.put("domain-i-" + domain, 1);
    }
    voters = new VoterSet(seats, seatsByDomain);
    for (int domain = 1; domain <= domains; domain++) {
      for (int number = 1; number <= holdersPerDomain; number++) {
        String vm = "vm-" + domain + '-' + number;
        nodes.put(vm, new Node(vm, "domain-i-" + domain));
      }
    }
  }

  /** Lets the primary refuse connections, which the holders notice within 60 ms. */
  void crashPrimary() {
    for (Node node : nodes.values()) {
      clock.schedule(random.nextInt(60), () -> node.run(node::losePrimary));
    }
  }

  /** Lets some holders lose their connections to the primary, and the others use it. */
  void losePrimaryAt(List<String> vms) {
    vms.forEach(vm -> nodes.get(vm).losePrimary());
  }

  /** Runs until a promotion is ordered, and returns how long that took, or the limit. */
  long runUntilOrdered(long limitMs) {
    return runUntil(() -> !orders.isEmpty(), limitMs);
  }

  /** Runs until a condition holds, and returns how long that took, or the limit. */
  long runUntil(BooleanSupplier condition, long limitMs) {
    long startMs = clock.nowMs();
    while (!condition.getAsBoolean() && clock.nowMs() - startMs < limitMs) {
      clock.advanceMs(STEP_MS);
      nodes.values().forEach(node -> node.run(node::answerTargets));
    }
    return clock.nowMs() - startMs;
  }

  int sent(String kind) {
    return network.sent.getOrDefault(kind, 0);
  }

  int allSent() {
    return network.sent.values().stream().mapToInt(Integer::intValue).sum();
  }

  Node node(String vm) {
    return nodes.get(vm);
  }

  private void promote(Node node, PromotionOrders.Order order, BooleanSupplier maySend) {
    if (!node.isReachable() || !maySend.getAsBoolean()) {
      return;
    }
    orders.add(order.holder());
    if (!promoted) {
      promoted = true;
      clock.schedule(PROMOTION_MS, () -> nodes.values().forEach(one -> one.register(order)));
    }
  }

  /** One holder. */
  final class Node
      implements FailoverStore, LeaseClient, LeaseVoters, Scheduler, SimulatedNetwork.Host {
    final String vm;
    boolean isDead;
    boolean isFrozen;
    boolean isCutOff;
    boolean isWithoutStore;
    private final String domain;
    private final Random feedDelay;
    private final FakeLinks links = new FakeLinks();
    private final Set<FakeLink> greeted = new HashSet<>();
    private final Targets targets = new Targets(this, links);
    private final LeaseGrants grants = new LeaseGrants();
    private final List<Runnable> parked = new ArrayList<>();
    private final PrimaryWatch watch;
    private boolean primaryLost;
    private long busyUntilMs;
    private long lastReadMs = Long.MIN_VALUE;
    private long pausedUntilMs = Long.MIN_VALUE;
    private boolean readScheduled;
    private boolean unreadNews;

    private Node(String vm, String domain) {
      this.vm = vm;
      this.domain = domain;
      this.feedDelay = new Random(vm.hashCode());
      PrimaryUse use = new PrimaryUse.Leased(new PrimaryLeases(() -> voters));
      watch =
          new PrimaryWatch(
              new FailoverContext(
                  vm,
                  vm,
                  domain,
                  this,
                  targets,
                  new ServicePositions(),
                  links,
                  this,
                  new LeaseContext(use, grants, this, this),
                  (to, service, primary, done) -> requestVote(to, service, primary, done),
                  new Role(),
                  (order, maySend, done) -> promote(this, order, maySend),
                  new PrimaryGate(this)));
      targets.update(
          List.of(
              TestTargets.target("i-1", true, 1),
              TestTargets.target("i-2", false, 2),
              TestTargets.target("i-3", false, 3)));
      schedule(random.nextInt(40), watch::start);
    }

    void freezeForMs(long durationMs) {
      isFrozen = true;
      clock.schedule(durationMs, this::thaw);
    }

    private void thaw() {
      isFrozen = false;
      List<Runnable> actions = List.copyOf(parked);
      parked.clear();
      actions.forEach(this::run);
    }

    @Override
    public void run(Runnable action) {
      if (isFrozen) {
        parked.add(action);
      } else if (!isDead) {
        action.run();
      }
    }

    @Override
    public boolean isCutOff() {
      return isCutOff;
    }

    @Override
    public void handle(Runnable action) {
      busyUntilMs = Math.max(busyUntilMs, clock.nowMs()) + serviceMs;
      clock.schedule(busyUntilMs - clock.nowMs(), () -> run(action));
    }

    private void requestVote(
        String to, String service, String primary, Consumer<PeerAnswer<Vote>> done) {
      Node peer = nodes.get(to);
      network.send(
          "vote",
          this,
          peer,
          () ->
              peer.watch
                  .currentVote(service, primary)
                  .<PeerAnswer<Vote>>map(PeerAnswer.Replied::new)
                  .orElse(new PeerAnswer.Silent<>()),
          done);
    }

    private void losePrimary() {
      primaryLost = true;
      links.to("i-1").forEach(FakeLink::drop);
      Fault refused = Fault.of(ResultCode.TARGET_UNREACHABLE, "refused");
      targets.find("i-1").orElseThrow().connectFailed(refused, clock.nowMs());
      watch.checkPrimaries();
    }

    private void answerTargets() {
      for (FakeLink link : List.copyOf(links.opened())) {
        if (link.isClosed() || link.targetId().equals("i-1") && primaryLost) {
          continue;
        }
        if (greeted.add(link)) {
          link.greet();
        }
        while (!link.isClosed() && !link.unanswered().isEmpty()) {
          if (link.targetId().equals("i-1")) {
            link.statusOfPrimary(1, 5);
          } else {
            link.done(TransactionState.NONE, 1, 5);
          }
        }
      }
    }

    private void register(PromotionOrders.Order order) {
      List<Target> registered = new ArrayList<>();
      for (String id : List.of("i-2", "i-3")) {
        boolean primary = id.equals(order.target().id());
        registered.add(TestTargets.target(id, primary, primary ? 9 : 3));
      }
      run(
          () -> {
            targets.update(registered);
            watch.checkPrimaries();
          });
    }

    @Override
    public long nowMs() {
      return clock.nowMs();
    }

    @Override
    public Timer schedule(long delayMs, Runnable action) {
      return clock.schedule(delayMs, () -> run(action));
    }

    @Override
    public void publishVote(String service, Vote vote) {
      if (isReachable()) {
        clock.schedule(
            STORE_MS + random.nextInt(8),
            () -> {
              boolean repeated = store.writeVote(vote, clock.nowMs());
              nodes
                  .values()
                  .forEach(
                      one -> one.schedule(feedDelay.nextInt(8), () -> one.onVoteWritten(repeated)));
            });
      }
    }

    @Override
    public List<Vote> votes(String service) {
      return store.votes(readMs());
    }

    private long readMs() {
      if (isReachable() && clock.nowMs() >= pausedUntilMs) {
        lastReadMs = clock.nowMs();
      }
      return lastReadMs;
    }

    private void onVoteWritten(boolean repeated) {
      unreadNews |= !repeated;
      if (clock.nowMs() >= pausedUntilMs) {
        readVotes();
      } else if (!readScheduled) {
        readScheduled = true;
        schedule(pausedUntilMs - clock.nowMs(), this::readVotes);
      }
    }

    private void readVotes() {
      readScheduled = false;
      answeredPolls++;
      lastReadMs = isReachable() ? clock.nowMs() : lastReadMs;
      pausedUntilMs = unreadNews ? Long.MIN_VALUE : clock.nowMs() + readPauseMs;
      unreadNews = false;
      watch.checkPrimaries();
    }

    @Override
    public Map<String, String> liveVms() {
      Map<String, String> domains = new HashMap<>();
      nodes.forEach((name, node) -> domains.put(name, node.domain));
      return domains;
    }

    @Override
    public boolean isReachable() {
      return !isCutOff && !isWithoutStore;
    }

    @Override
    public Optional<Lease> lease(String service) {
      return store.lease(readMs());
    }

    @Override
    public boolean isCurrent(long token) {
      return true;
    }

    @Override
    public void acquireLease(
        String service, String holder, String previous, Consumer<LeaseResult> done) {
      long expected = lease(service).map(Lease::revision).orElse(0L);
      if (!isReachable()) {
        schedule(STORE_TIMEOUT_MS, () -> done.accept(new LeaseResult.NotAcquired("no answer")));
        return;
      }
      clock.schedule(
          STORE_MS,
          () -> {
            Optional<Long> token = store.writeLease(holder, previous, expected, clock.nowMs());
            LeaseResult result =
                token.isPresent()
                    ? new LeaseResult.Acquired(token.get())
                    : new LeaseResult.NotAcquired("changed");
            schedule(STORE_MS, () -> done.accept(result));
          });
    }

    @Override
    public void renew(String to, Consumer<PeerAnswer<LeaseReply>> done) {
      done.accept(new PeerAnswer.Silent<>());
    }

    @Override
    public void release(
        String to, String service, String primary, Consumer<PeerAnswer<ReleaseReply>> done) {
      if (!askers.contains(vm)) {
        askers.add(vm);
      }
      onReleaseRequest.accept(vm);
      Node peer = nodes.get(to);
      network.send(
          "release",
          this,
          peer,
          () -> new PeerAnswer.Replied<>(peer.watch.release(service, primary, vm)),
          done);
    }

    @Override
    public void resume(String to, String service) {
      Node peer = nodes.get(to);
      network.<Boolean>send(
          "resume",
          this,
          peer,
          () -> {
            peer.watch.resume(service, vm);
            return new PeerAnswer.Replied<>(true);
          },
          answer -> {});
    }

    @Override
    public VoterSet voters() {
      return voters;
    }

    @Override
    public OptionalLong seatAgeMs() {
      return voters.groupByVm().containsKey(vm) ? OptionalLong.of(60_000) : OptionalLong.empty();
    }

    @Override
    public long ageMs() {
      return 1_000;
    }

    @Override
    public void refresh() {}
  }
}
