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

/** Three failure domains with one proxy and one instance each, run in one thread on one clock. */
final class Fleet {
  static final String GROUP = "orders";
  static final String SERVICE = "shop";

  private static final ServiceRules SERVICE_RULES =
      new ServiceRules(Optional.empty(), Optional.of(10_000L), Optional.empty(), Optional.empty());
  private static final List<String> DOMAINS = List.of("a", "b", "c");
  private static final long TICK_INTERVAL_MS = 10;
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
              .map(
                  domain ->
                      new TargetSpec(
                          "t-" + domain, domain, "127.0.0." + (domain.charAt(0) - 96) + ":1"))
              .toList(),
          ModelLimits.NONE,
          links,
          clock);
  final SafetyRule omittedRule;
  final StepFaultInjector injector;
  final History history = new History(this);
  private final Map<String, ProxyNode> nodes = new LinkedHashMap<>();
  private final Map<String, Long> leavingSinceMs = new HashMap<>();
  private final Map<String, Long> lastVersions = new HashMap<>();
  private final Deque<ProxyNode> runningNodes = new ArrayDeque<>();
  private int backgroundDepth;
  private int startedCount;
  private int competingChangeCount;
  private boolean isClaimStarted;

  Fleet(List<StepFaultInjector.PlannedFault> plannedFaults, SafetyRule omittedRule) {
    this.omittedRule = omittedRule;
    this.injector = new StepFaultInjector(this, plannedFaults);
    DOMAINS.forEach(domain -> start("vm-" + domain, domain));
    runPeriodicWork();
    advanceMs(WARM_UP_MS);
    submit(node("a"), "group", new Change.CreateGroup(GROUP, group.targets(), 3, 20));
    submit(node("a"), "service", new Change.CreateService(SERVICE, GROUP, SERVICE_RULES));
    advanceMs(WARM_UP_MS);
  }

  private void start(String name, String domain) {
    startedCount++;
    String address = "127.0.1." + startedCount + ":1";
    Vm vm = new Vm(name, Vm.Kind.ENTRY, domain, address, false);
    nodes.put(domain, new ProxyNode(this, vm, startedCount));
    platform.putVm(vm);
  }

  private void runPeriodicWork() {
    clock.scheduleAfterMs(TICK_INTERVAL_MS, this::runPeriodicWork);
    for (ProxyNode node : List.copyOf(nodes.values())) {
      node.tick();
      long version = node.configurationVersion();
      Long previous = lastVersions.put(node.vm().name(), version);
      history.check(previous == null || previous <= version, "a configuration reverted");
    }
  }

  /** Advances the clock, which also runs the periodic work that becomes due. */
  void advanceMs(long durationMs) {
    clock.advanceMs(durationMs);
  }

  ProxyNode node(String domain) {
    return nodes.get(domain);
  }

  List<ProxyNode> nodes() {
    return List.copyOf(nodes.values());
  }

  Optional<ProxyNode> nodeAt(String address) {
    return nodes.values().stream().filter(node -> node.vm().address().equals(address)).findFirst();
  }

  void runInBackground(ProxyNode node, Runnable body) {
    backgroundDepth++;
    try {
      runOn(
          node,
          () -> {
            body.run();
            return true;
          });
    } finally {
      backgroundDepth--;
    }
  }

  /** Returns the result of the body, or empty if the proxy that runs it dies. */
  <T> Optional<T> runOn(ProxyNode node, Supplier<T> body) {
    runningNodes.push(node);
    try {
      T result = body.get();
      return node.isDead() ? Optional.empty() : Optional.of(result);
    } catch (ProxyDiedError error) {
      return Optional.empty();
    } finally {
      runningNodes.pop();
    }
  }

  boolean isBackground() {
    return backgroundDepth > 0;
  }

  /** Throws {@link ProxyDiedError} if the proxy that is running has died. */
  void throwIfProxyDead() {
    ProxyNode current = runningNodes.peek();
    if (current != null && current.isDead()) {
      throw new ProxyDiedError(current.vm().name());
    }
  }

  /** Checks that a target gets no new work once it has been leaving for more than 3 s. */
  void checkLeavingTarget(Call call) {
    Long since = leavingSinceMs.get(call.target());
    boolean isNew = call.operation().equals("begin") || call.operation().equals("execute");
    history.check(
        since == null || !isNew || clock.monotonicMs() <= since + LEAVING_LIMIT_MS,
        "new work on a leaving target");
  }

  boolean submit(ProxyNode node, String id, Change change) {
    ChangeRequest request = new ChangeRequest(id, change, Optional.empty());
    boolean accepted =
        node.handleRequest(() -> node.writer().submit(request))
            .filter(result -> !result.isEmpty())
            .isPresent();
    if (accepted) {
      history.recordAccepted(id);
    }
    return accepted;
  }

  void recordClaim() {
    isClaimStarted = true;
  }

  /** Returns whether any proxy has started to claim a term. */
  boolean isClaimStarted() {
    return isClaimStarted;
  }

  Optional<String> primary() {
    return group.primary();
  }

  /** Returns whether an instance is the primary of a later term. */
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
        .forEach(name -> group.faults().setReplicaLagMs(name, lagMs));
  }

  void killRunningProxy() {
    ProxyNode node = runningNodes.isEmpty() ? node("b") : runningNodes.peek();
    node.kill();
    throwIfProxyDead();
  }

  void pauseRunningProxy() {
    (runningNodes.isEmpty() ? node("b") : runningNodes.peek()).pause(PAUSE_MS);
  }

  void cutOffReplicaDomain() {
    String primary = primaryDomain();
    String runningDomain = runningNodes.isEmpty() ? "b" : runningNodes.peek().domain();
    String cut = !runningDomain.equals(primary) ? runningDomain : primary.equals("b") ? "c" : "b";
    links.isolate(cut, DOMAINS);
  }

  void cutOffPlatform() {
    links.cutPlatform(runningNodes.isEmpty() ? "b" : runningNodes.peek().domain());
  }

  /** Has another proxy order a promotion and change the configuration at the same time. */
  void submitCompetingChanges() {
    ProxyNode current = runningNodes.peek();
    ProxyNode other =
        nodes().stream()
            .filter(node -> node != current && node.isRunning())
            .findFirst()
            .orElseThrow();
    competingChangeCount++;
    submit(other, "rival-" + competingChangeCount, History.weightChange(40 + competingChangeCount));
    String target = "t-" + (primaryDomain().equals("c") ? "b" : "c");
    other.handleRequest(() -> other.groups().promote(GROUP, target));
  }

  void markLeaving(String target) {
    group.faults().setLeaving(target, true);
    TargetSpec spec =
        group.targets().stream()
            .filter(candidate -> candidate.name().equals(target))
            .findFirst()
            .orElseThrow();
    platform.putVm(new Vm(target, Vm.Kind.TARGET, spec.failureDomain(), spec.address(), true));
    leavingSinceMs.put(target, clock.monotonicMs());
  }

  /** Ends a proxy and its VM, and starts a new one in the same failure domain. */
  void replaceProxy(String domain) {
    ProxyNode old = node(domain);
    old.kill();
    platform.removeVm(old.vm().name());
    start("vm-" + domain + "-" + startedCount, domain);
  }

  /** Ends all faults and replaces the proxies that have died. */
  void clearFaults() {
    links.healAll();
    platform.setDown(false);
    platform.setSlowMs(0);
    platform.loseReplies(0);
    for (TargetSpec target : group.targets()) {
      group.faults().restart(target.name());
      group.faults().setReplicaLagMs(target.name(), 0);
    }
    nodes().stream().filter(ProxyNode::isDead).forEach(node -> replaceProxy(node.domain()));
  }

  /** Returns the log of the current primary. */
  List<LogEntry> primaryLog() {
    return new ArrayList<>(group.log(primary().orElse("t-a")));
  }
}
