package io.lycheejunction.proxy.matrix;

import io.lycheejunction.core.clock.ManualClock;
import io.lycheejunction.core.configuration.Change;
import io.lycheejunction.core.configuration.ServiceRules;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.proxy.configuration.ChangeRequest;
import io.lycheejunction.standin.model.FaultInjector.Call;
import io.lycheejunction.standin.model.GroupModel;
import io.lycheejunction.standin.model.Links;
import io.lycheejunction.standin.model.LogEntry;
import io.lycheejunction.standin.model.ModelLimits;
import io.lycheejunction.standin.model.PlatformModel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/** Three failure domains with a proxy and an instance each, driven by one thread and one clock. */
final class Fleet {
  static final String GROUP = "orders";
  static final String SERVICE = "shop";

  private static final ServiceRules RULES =
      new ServiceRules(Optional.empty(), Optional.of(10_000L), Optional.empty(), Optional.empty());
  private static final List<String> DOMAINS = List.of("a", "b", "c");
  private static final long PULSE_MS = 10;
  private static final long WARM_UP_MS = 2_500;
  private static final long PAUSE_MS = 1_500;
  private static final long LEAVING_LIMIT_MS = 3_000;

  final ManualClock clock = ManualClock.advancing();
  final Links links = new Links(3);
  final PlatformModel platform = new PlatformModel();
  final GroupModel group =
      new GroupModel(
          GROUP,
          DOMAINS.stream()
              .map(d -> new TargetSpec("t-" + d, d, "127.0.0." + (d.charAt(0) - 96) + ":1"))
              .toList(),
          ModelLimits.NONE,
          links,
          clock);
  final SafetyRule rules;
  final Steps steps;
  final History history = new History(this);
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final Map<String, Long> leavingSinceMs = new HashMap<>();
  private final Map<String, Long> versions = new HashMap<>();
  private final Deque<Node> running = new ArrayDeque<>();
  private int background;
  private int started;
  private int rivals;
  private boolean isClaimed;

  Fleet(List<Steps.Strike> strikes, SafetyRule rules) {
    this.rules = rules;
    this.steps = new Steps(this, strikes);
    DOMAINS.forEach(domain -> start("vm-" + domain, domain));
    pulse();
    run(WARM_UP_MS);
    submit(node("a"), "group", new Change.CreateGroup(GROUP, group.targets(), 3, 20));
    submit(node("a"), "service", new Change.CreateService(SERVICE, GROUP, RULES));
    run(WARM_UP_MS);
  }

  private void start(String name, String domain) {
    started++;
    String address = "127.0.1." + started + ":1";
    Vm vm = new Vm(name, Vm.Kind.ENTRY, domain, address, false);
    nodes.put(domain, new Node(this, vm, started));
    platform.putVm(vm);
  }

  private void pulse() {
    clock.afterMs(PULSE_MS, this::pulse);
    for (Node node : List.copyOf(nodes.values())) {
      node.tick();
      long version = node.version();
      Long before = versions.put(node.vm().name(), version);
      history.check(before == null || before <= version, "a configuration reverted");
    }
  }

  /** Lets the time pass, with all periodic work. */
  void run(long durationMs) {
    clock.advanceMs(durationMs);
  }

  Node node(String domain) {
    return nodes.get(domain);
  }

  List<Node> nodes() {
    return List.copyOf(nodes.values());
  }

  Optional<Node> at(String address) {
    return nodes.values().stream().filter(n -> n.vm().address().equals(address)).findFirst();
  }

  void inBackground(Node node, Runnable body) {
    background++;
    try {
      on(
          node,
          () -> {
            body.run();
            return true;
          });
    } finally {
      background--;
    }
  }

  /** Returns what the body returns, or empty when the proxy on which it runs dies. */
  <T> Optional<T> on(Node node, Supplier<T> body) {
    running.push(node);
    try {
      T result = body.get();
      return node.isDead() ? Optional.empty() : Optional.of(result);
    } catch (Died died) {
      return Optional.empty();
    } finally {
      running.pop();
    }
  }

  boolean isBackground() {
    return background > 0;
  }

  /** Unwinds the running proxy if it has died. */
  void checkRunning() {
    Node top = running.peek();
    if (top != null && top.isDead()) {
      throw new Died(top.vm().name());
    }
  }

  /** Checks that a call brings no new work to a target that has long been leaving. */
  void audit(Call call) {
    Long since = leavingSinceMs.get(call.target());
    boolean isNew = call.operation().equals("begin") || call.operation().equals("execute");
    history.check(
        since == null || !isNew || clock.monotonicMs() <= since + LEAVING_LIMIT_MS,
        "new work on a leaving target");
  }

  boolean submit(Node node, String id, Change change) {
    ChangeRequest request = new ChangeRequest(id, change, Optional.empty());
    boolean accepted =
        node.ask(() -> node.writer().submit(request)).filter(r -> !r.isEmpty()).isPresent();
    if (accepted) {
      history.accepted(id);
    }
    return accepted;
  }

  void claimed() {
    isClaimed = true;
  }

  /** Returns whether a proxy has begun to claim a term. */
  boolean isClaimed() {
    return isClaimed;
  }

  Optional<String> primary() {
    return group.primary();
  }

  /** Returns whether an instance has been promoted in a later term. */
  boolean isReplaced(long term) {
    for (TargetSpec target : group.targets()) {
      TargetStatus status = group.status(target.name());
      if (status.role() == Role.PRIMARY && status.term() > term) {
        return true;
      }
    }
    return false;
  }

  private String primaryDomain() {
    return primary().orElse("t-a").substring(2);
  }

  void cutOffPrimary() {
    links.isolate(primaryDomain(), DOMAINS);
  }

  void crashPrimary() {
    primary().ifPresent(group.faults()::crash);
  }

  void lagReplicas(int count, long lagMs) {
    String primary = primary().orElse("");
    group.targets().stream()
        .map(TargetSpec::name)
        .filter(name -> !name.equals(primary))
        .limit(count)
        .forEach(name -> group.faults().replicaLag(name, lagMs));
  }

  void killRunning() {
    Node node = running.isEmpty() ? node("b") : running.peek();
    node.die();
    checkRunning();
  }

  void pauseRunning() {
    (running.isEmpty() ? node("b") : running.peek()).pause(PAUSE_MS);
  }

  void cutOffReplicaDomain() {
    String primary = primaryDomain();
    String own = running.isEmpty() ? "b" : running.peek().domain();
    String cut = !own.equals(primary) ? own : primary.equals("b") ? "c" : "b";
    links.isolate(cut, DOMAINS);
  }

  void cutPlatform() {
    links.cutPlatform(running.isEmpty() ? "b" : running.peek().domain());
  }

  /** Lets another proxy order a promotion and change the configuration at the same time. */
  void rival() {
    Node own = running.peek();
    Node other = nodes().stream().filter(n -> n != own && n.isRunning()).findFirst().orElseThrow();
    rivals++;
    submit(other, "rival-" + rivals, History.weight(40 + rivals));
    String target = "t-" + (primaryDomain().equals("c") ? "b" : "c");
    other.ask(() -> other.groups().promote(GROUP, target));
  }

  void leave(String target) {
    group.faults().leaving(target, true);
    TargetSpec spec =
        group.targets().stream().filter(t -> t.name().equals(target)).findFirst().orElseThrow();
    platform.putVm(new Vm(target, Vm.Kind.TARGET, spec.failureDomain(), spec.address(), true));
    leavingSinceMs.put(target, clock.monotonicMs());
  }

  /** Replaces the VM of a proxy. */
  void replace(String domain) {
    Node old = node(domain);
    old.die();
    platform.removeVm(old.vm().name());
    start("vm-" + domain + "-" + started, domain);
  }

  /** Ends all faults. */
  void heal() {
    links.healAll();
    platform.setDown(false);
    platform.setSlowMs(0);
    platform.loseReplies(0);
    for (TargetSpec target : group.targets()) {
      group.faults().restart(target.name());
      group.faults().replicaLag(target.name(), 0);
    }
    nodes().stream().filter(Node::isDead).forEach(node -> replace(node.domain()));
  }

  /** Returns the log of the present primary. */
  List<LogEntry> log() {
    return new ArrayList<>(group.log(primary().orElse("t-a")));
  }
}
