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
 * The proxies and leaving targets that one proxy knows; an immutable state machine.
 *
 * @param self this proxy's entry VM
 * @param incarnation this proxy's incarnation number, increased to refute reports about it
 * @param members the other known proxies by VM name
 * @param leavingTargets the targets that are known to be leaving
 */
public record MembershipState(
    Vm self, long incarnation, Map<String, Member> members, LeavingTargets leavingTargets) {
  /** The time for which a message from a proxy itself overrides other proxies' suspicion of it. */
  public static final long DIRECT_TRUST_MS = 3_000;

  /** The number of consecutive unanswered heartbeats after which a proxy is suspected. */
  public static final int MAX_FAILURES = 2;

  /** The time after which an unlisted proxy that is not alive or is leaving is removed. */
  public static final long FORGET_MS = 120_000;

  /** Rejects null components and copies the members. */
  public MembershipState {
    Objects.requireNonNull(self, "self is null");
    members = Map.copyOf(members);
    Objects.requireNonNull(leavingTargets, "leavingTargets is null");
  }

  /**
   * Returns the state of a proxy that knows only itself.
   *
   * @param self its entry VM
   * @return the state
   */
  public static MembershipState of(Vm self) {
    return new MembershipState(self, 0, Map.of(), LeavingTargets.empty());
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
      case MembershipEvent.VmListRead(List<Vm> vms) -> withListedVms(vms, nowMs);
      case MembershipEvent.HeartbeatReceived(Heartbeat heartbeat) ->
          withHeartbeat(heartbeat, nowMs);
      case MembershipEvent.HeartbeatUnanswered(String name) -> withMissedHeartbeat(name, nowMs);
      case MembershipEvent.VmReplaced(String name) ->
          update(
              name,
              member -> member.withHealth(Member.Health.REPLACED, member.incarnation(), nowMs));
      case MembershipEvent.TargetAnnouncement(String target, boolean leaving) ->
          withTargets(leavingTargets.withAnnouncement(target, leaving, nowMs));
      case MembershipEvent.ShutdownStarted() ->
          new MembershipState(asLeaving(self), incarnation + 1, members, leavingTargets);
    };
  }

  private static Vm asLeaving(Vm vm) {
    return new Vm(vm.name(), vm.kind(), vm.failureDomain(), vm.address(), true);
  }

  private MembershipState withTargets(LeavingTargets next) {
    return new MembershipState(self, incarnation, members, next);
  }

  private MembershipState withMembers(Map<String, Member> next) {
    return new MembershipState(self, incarnation, next, leavingTargets);
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

  private MembershipState withListedVms(List<Vm> vms, long nowMs) {
    Map<String, Member> next = new HashMap<>();
    members.forEach((name, member) -> next.put(name, member.withListed(false)));
    for (Vm vm : vms) {
      if (vm.kind() == Vm.Kind.ENTRY && !vm.name().equals(self.name())) {
        next.merge(
            vm.name(),
            Member.of(vm, nowMs).withListed(true),
            (known, added) -> mergeListed(known, vm));
      }
    }
    next.values().removeIf(member -> isExpired(member, nowMs));
    return new MembershipState(self, incarnation, next, leavingTargets.withListed(vms, nowMs));
  }

  /**
   * Merges a listed VM into a known member. An address that the proxy itself reported takes
   * precedence over the listed one; the member is leaving if either source says so.
   */
  private static Member mergeListed(Member known, Vm listed) {
    Vm source = known.heardAtMs() == Member.NEVER_MS ? listed : known.vm();
    boolean leaving = known.vm().leaving() || listed.leaving();
    return known
        .withVm(
            new Vm(source.name(), source.kind(), source.failureDomain(), source.address(), leaving))
        .withListed(true);
  }

  private static boolean isExpired(Member member, long nowMs) {
    boolean absent = member.health() != Member.Health.ALIVE || member.vm().leaving();
    return !member.listed() && absent && nowMs - member.changedAtMs() > FORGET_MS;
  }

  private MembershipState withMissedHeartbeat(String name, long nowMs) {
    return update(
        name,
        member -> {
          Member failed = member.withFailure();
          return failed.failures() >= MAX_FAILURES && failed.health() == Member.Health.ALIVE
              ? failed.withHealth(Member.Health.SUSPECT, failed.incarnation(), nowMs)
              : failed;
        });
  }

  private MembershipState withHeartbeat(Heartbeat heartbeat, long nowMs) {
    MembershipState next = this;
    if (!heartbeat.sender().name().equals(self.name())) {
      next = next.withSender(heartbeat, nowMs);
    }
    for (MemberReport report : heartbeat.reports()) {
      next = next.withReport(report, nowMs);
    }
    return next.withTargets(next.leavingTargets.withRelayed(heartbeat.signs(), nowMs));
  }

  /** Updates the sender and marks other members at its address as replaced. */
  private MembershipState withSender(Heartbeat heartbeat, long nowMs) {
    Vm sender = heartbeat.sender();
    Map<String, Member> next = new HashMap<>(members);
    Member known = members.getOrDefault(sender.name(), Member.of(sender, nowMs));
    next.put(
        sender.name(),
        known.withHeartbeat(sender, heartbeat.incarnation(), heartbeat.version(), nowMs));
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

  private MembershipState withReport(MemberReport report, long nowMs) {
    if (report.name().equals(self.name())) {
      return refute(report);
    }
    Member known = members.get(report.name());
    if (known == null) {
      return withReportedMember(report, nowMs);
    }
    return update(report.name(), member -> mergeReport(member, report, nowMs));
  }

  /** Refutes a report that contradicts this proxy's state by raising the incarnation above it. */
  private MembershipState refute(MemberReport report) {
    boolean contradicts =
        report.health() != Member.Health.ALIVE || report.leaving() != self.leaving();
    return contradicts && report.incarnation() >= incarnation
        ? new MembershipState(self, report.incarnation() + 1, members, leavingTargets)
        : this;
  }

  private MembershipState withReportedMember(MemberReport report, long nowMs) {
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

  private static Member mergeReport(Member member, MemberReport report, long nowMs) {
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
    Member updated =
        known.withVm(new Vm(vm.name(), vm.kind(), vm.failureDomain(), vm.address(), leaving));
    return newer || worse
        ? updated.withHealth(report.health(), report.incarnation(), nowMs)
        : updated;
  }

  /**
   * Returns the entry VMs that are considered live, including this one unless it is leaving.
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
   * @return the VM, or empty if it is unknown or has been replaced
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
   * Returns a heartbeat message to another proxy.
   *
   * @param recipient the name of the recipient's VM; empty if it is not known
   * @param version the version of the configuration in force on this proxy
   * @param random selects among reports of the same priority
   * @param nowMs the monotonic time in milliseconds
   * @return the message
   */
  public Heartbeat heartbeatTo(String recipient, long version, RandomGenerator random, long nowMs) {
    return new Heartbeat(
        self,
        recipient,
        incarnation,
        version,
        reports(recipient, random),
        leavingTargets.signs(nowMs));
  }

  /**
   * Returns the reports to send: first the recipient itself if it is suspected, so that it can
   * refute that, then the latest failure or departure, then other members at random.
   */
  private List<MemberReport> reports(String recipient, RandomGenerator random) {
    Map<String, Double> randomRank = new HashMap<>();
    members.keySet().stream().sorted().forEach(name -> randomRank.put(name, random.nextDouble()));
    Optional<String> latestChange =
        members.values().stream()
            .filter(member -> member.health() != Member.Health.ALIVE || member.vm().leaving())
            .max(Comparator.comparingLong(Member::changedAtMs))
            .map(member -> member.vm().name());
    Comparator<Member> order =
        Comparator.comparing((Member member) -> !isSuspected(member, recipient))
            .thenComparing(member -> !latestChange.equals(Optional.of(member.vm().name())))
            .thenComparing(member -> randomRank.get(member.vm().name()));
    return members.values().stream()
        .filter(member -> !member.vm().name().equals(recipient) || isSuspected(member, recipient))
        .sorted(order)
        .limit(Heartbeat.MAX_REPORTS)
        .map(MemberReport::of)
        .toList();
  }

  private static boolean isSuspected(Member member, String recipient) {
    return member.vm().name().equals(recipient) && member.health() == Member.Health.SUSPECT;
  }

  /**
   * Returns the proxies to send heartbeats to: those that are neither leaving nor replaced.
   *
   * @return the VMs, ordered by name
   */
  public List<Vm> heartbeatPeers() {
    return members.values().stream()
        .filter(member -> !member.vm().leaving())
        .filter(member -> member.health() != Member.Health.REPLACED)
        .map(Member::vm)
        .sorted(Comparator.comparing(Vm::name))
        .toList();
  }
}
