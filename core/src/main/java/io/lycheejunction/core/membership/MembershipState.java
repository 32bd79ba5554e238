package io.lycheejunction.core.membership;

import io.lycheejunction.core.port.Vm;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

/**
 * The proxies and leaving targets that one proxy knows; immutable.
 *
 * @param self this proxy's entry VM
 * @param incarnation this proxy's incarnation
 * @param members the other proxies by the name of their VM
 * @param targets the signs of leaving targets
 */
public record MembershipState(
    Vm self, long incarnation, Map<String, Member> members, TargetSigns targets) {
  /** The time for which a message of a proxy itself outweighs others' suspicion. */
  public static final long DIRECT_TRUST_MS = 3_000;

  /** The heartbeats in a row that a proxy may leave without an answer before it is suspected. */
  public static final int MAX_FAILURES = 2;

  /** The time after which an unlisted proxy that does not answer is forgotten. */
  public static final long FORGET_MS = 120_000;

  /** Rejects null components and copies the members. */
  public MembershipState {
    Objects.requireNonNull(self, "self is null");
    members = Map.copyOf(members);
    Objects.requireNonNull(targets, "targets is null");
  }

  /**
   * Returns the state of a proxy that knows only itself.
   *
   * @param self its entry VM
   * @return the state
   */
  public static MembershipState of(Vm self) {
    return new MembershipState(self, 0, Map.of(), TargetSigns.empty());
  }

  /**
   * Returns the state after an event.
   *
   * @param event the event
   * @param nowMs the monotonic time in milliseconds
   * @return the new state
   */
  public MembershipState step(MembershipEvent event, long nowMs) {
    return switch (event) {
      case MembershipEvent.Listed(List<Vm> vms) -> listed(vms, nowMs);
      case MembershipEvent.Heard(Heartbeat heartbeat) -> heard(heartbeat, nowMs);
      case MembershipEvent.Silent(String name) -> silent(name, nowMs);
      case MembershipEvent.Replaced(String name) ->
          update(name, m -> m.withHealth(Member.Health.REPLACED, m.incarnation(), nowMs));
      case MembershipEvent.TargetWord(String target, boolean leaving) ->
          withTargets(targets.word(target, leaving, nowMs));
      case MembershipEvent.SelfLeaving() ->
          new MembershipState(leaving(self), incarnation + 1, members, targets);
    };
  }

  private static Vm leaving(Vm vm) {
    return new Vm(vm.name(), vm.kind(), vm.failureDomain(), vm.address(), true);
  }

  private MembershipState withTargets(TargetSigns next) {
    return new MembershipState(self, incarnation, members, next);
  }

  private MembershipState withMembers(Map<String, Member> next) {
    return new MembershipState(self, incarnation, next, targets);
  }

  private MembershipState update(String name, UnaryOperator<Member> change) {
    Member member = members.get(name);
    if (member == null) {
      return this;
    }
    Map<String, Member> next = new HashMap<>(members);
    next.put(name, change.apply(member));
    return withMembers(next);
  }

  private MembershipState listed(List<Vm> vms, long nowMs) {
    Map<String, Member> next = new HashMap<>();
    members.forEach((name, member) -> next.put(name, member.withListed(false)));
    for (Vm vm : vms) {
      if (vm.kind() == Vm.Kind.ENTRY && !vm.name().equals(self.name())) {
        next.merge(vm.name(), Member.of(vm, nowMs).withListed(true), (old, fresh) -> join(old, vm));
      }
    }
    next.values().removeIf(member -> isForgotten(member, nowMs));
    return new MembershipState(self, incarnation, next, targets.listed(vms, nowMs));
  }

  /** The proxy's own word on its address outweighs the list's; leaving holds by either. */
  private static Member join(Member old, Vm vm) {
    Vm known = old.heardAtMs() == Member.NEVER_MS ? vm : old.vm();
    boolean leaving = old.vm().leaving() || vm.leaving();
    return old.withVm(
            new Vm(known.name(), known.kind(), known.failureDomain(), known.address(), leaving))
        .withListed(true);
  }

  private static boolean isForgotten(Member member, long nowMs) {
    boolean absent = member.health() != Member.Health.ALIVE || member.vm().leaving();
    return !member.listed() && absent && nowMs - member.changedAtMs() > FORGET_MS;
  }

  private MembershipState silent(String name, long nowMs) {
    return update(
        name,
        member -> {
          Member failed = member.withFailure();
          return failed.failures() >= MAX_FAILURES && failed.health() == Member.Health.ALIVE
              ? failed.withHealth(Member.Health.SUSPECT, failed.incarnation(), nowMs)
              : failed;
        });
  }

  private MembershipState heard(Heartbeat heartbeat, long nowMs) {
    MembershipState next = this;
    if (!heartbeat.sender().name().equals(self.name())) {
      next = next.heardDirectly(heartbeat, nowMs);
    }
    for (MemberReport report : heartbeat.reports()) {
      next = next.reported(report, nowMs);
    }
    return next.withTargets(next.targets.relayed(heartbeat.signs(), nowMs));
  }

  private MembershipState heardDirectly(Heartbeat heartbeat, long nowMs) {
    Vm sender = heartbeat.sender();
    Map<String, Member> next = new HashMap<>(members);
    Member known = members.getOrDefault(sender.name(), Member.of(sender, nowMs));
    next.put(
        sender.name(), known.heard(sender, heartbeat.incarnation(), heartbeat.version(), nowMs));
    for (Member other : members.values()) {
      boolean sameAddress = other.vm().address().equals(sender.address());
      if (sameAddress && !other.vm().name().equals(sender.name())) {
        next.put(
            other.vm().name(),
            other.withHealth(Member.Health.REPLACED, other.incarnation(), nowMs));
      }
    }
    return withMembers(next);
  }

  private MembershipState reported(MemberReport report, long nowMs) {
    if (report.name().equals(self.name())) {
      return refute(report);
    }
    Member known = members.get(report.name());
    if (known == null) {
      return learn(report, nowMs);
    }
    return update(report.name(), member -> merge(member, report, nowMs));
  }

  /** A report against this proxy is answered by a higher incarnation. */
  private MembershipState refute(MemberReport report) {
    boolean against = report.health() != Member.Health.ALIVE || report.leaving() != self.leaving();
    return against && report.incarnation() >= incarnation
        ? new MembershipState(self, report.incarnation() + 1, members, targets)
        : this;
  }

  private MembershipState learn(MemberReport report, long nowMs) {
    if (report.health() != Member.Health.ALIVE || report.leaving()) {
      return this;
    }
    Map<String, Member> next = new HashMap<>(members);
    next.put(
        report.name(),
        Member.of(report.vm(), nowMs)
            .withHealth(Member.Health.ALIVE, report.incarnation(), nowMs)
            .withVersion(report.version()));
    return withMembers(next);
  }

  private static Member merge(Member member, MemberReport report, long nowMs) {
    Member known = member.withVersion(report.version());
    boolean newer = report.incarnation() > known.incarnation();
    boolean worse =
        report.incarnation() == known.incarnation()
            && report.health().compareTo(known.health()) > 0;
    if (!newer && !worse && !report.leaving()) {
      return known;
    }
    boolean leaving = newer ? report.leaving() : known.vm().leaving() || report.leaving();
    Vm vm = known.vm();
    Member moved =
        known.withVm(new Vm(vm.name(), vm.kind(), vm.failureDomain(), vm.address(), leaving));
    return newer || worse ? moved.withHealth(report.health(), report.incarnation(), nowMs) : moved;
  }

  /**
   * Returns the entry VMs that are taken to be live, this one among them while it is not leaving.
   *
   * @param nowMs the monotonic time in milliseconds
   * @return the VMs, ordered by name
   */
  public List<Vm> live(long nowMs) {
    Map<String, Vm> live = new TreeMap<>();
    if (!self.leaving()) {
      live.put(self.name(), self);
    }
    members.forEach(
        (name, member) -> {
          if (member.isLive(nowMs)) {
            live.put(name, member.vm());
          }
        });
    return List.copyOf(live.values());
  }

  /**
   * Returns the entry VM of the given name.
   *
   * @param name the name
   * @return the VM, or empty if it is not known or was replaced
   */
  public Optional<Vm> find(String name) {
    if (name.equals(self.name())) {
      return Optional.of(self);
    }
    return Optional.ofNullable(members.get(name))
        .filter(member -> member.health() != Member.Health.REPLACED)
        .map(Member::vm);
  }

  /**
   * Returns a message to another proxy.
   *
   * @param recipient the name of its VM; empty if it is not known
   * @param version the configuration version in force here
   * @param random chooses among reports that are equally new
   * @param nowMs the monotonic time in milliseconds
   * @return the message
   */
  public Heartbeat heartbeatTo(String recipient, long version, RandomGenerator random, long nowMs) {
    return new Heartbeat(
        self, recipient, incarnation, version, reports(recipient, random), targets.signs(nowMs));
  }

  /** The recipient itself if it is suspected, then the newest change, then any others. */
  private List<MemberReport> reports(String recipient, RandomGenerator random) {
    Map<String, Double> draw = new HashMap<>();
    members.keySet().stream().sorted().forEach(name -> draw.put(name, random.nextDouble()));
    Optional<String> newest =
        members.values().stream()
            .filter(m -> m.health() != Member.Health.ALIVE || m.vm().leaving())
            .max(Comparator.comparingLong(Member::changedAtMs))
            .map(m -> m.vm().name());
    Comparator<Member> order =
        Comparator.comparing((Member m) -> !isSuspected(m, recipient))
            .thenComparing(m -> !newest.equals(Optional.of(m.vm().name())))
            .thenComparing(m -> draw.get(m.vm().name()));
    return members.values().stream()
        .filter(m -> !m.vm().name().equals(recipient) || isSuspected(m, recipient))
        .sorted(order)
        .limit(Heartbeat.MAX_REPORTS)
        .map(MemberReport::of)
        .toList();
  }

  private static boolean isSuspected(Member member, String recipient) {
    return member.vm().name().equals(recipient) && member.health() == Member.Health.SUSPECT;
  }

  /**
   * Returns the proxies that may be sent heartbeats: those that are not leaving, and not replaced
   * unless listed.
   *
   * @return the VMs, ordered by name
   */
  public List<Vm> partners() {
    return members.values().stream()
        .filter(m -> !m.vm().leaving())
        .filter(m -> m.health() != Member.Health.REPLACED)
        .map(Member::vm)
        .sorted(Comparator.comparing(Vm::name))
        .toList();
  }
}
