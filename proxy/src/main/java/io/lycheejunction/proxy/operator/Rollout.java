package io.lycheejunction.proxy.operator;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.membership.Member;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.proxy.membership.Heartbeats;
import io.lycheejunction.proxy.membership.Membership;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** Tells on which proxies a version is in force, and sends it on to those that lack it. */
final class Rollout {
  /** The longest wait for a version to be in force everywhere, in milliseconds. */
  static final long MAX_WAIT_MS = 15_000;

  private static final long PAUSE_MS = 250;
  private static final int PUSHES_PER_ROUND = 16;

  private final Membership membership;
  private final Heartbeats heartbeats;
  private final RuntimeClock clock;

  Rollout(Membership membership, Heartbeats heartbeats, RuntimeClock clock) {
    this.membership = Objects.requireNonNull(membership, "membership is null");
    this.heartbeats = Objects.requireNonNull(heartbeats, "heartbeats is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
  }

  /** Returns how far the version has come, as far as this proxy knows. */
  Reach reach(long version) {
    List<String> inForce = new ArrayList<>(List.of(membership.self().name()));
    List<String> notReached = new ArrayList<>();
    Map<String, Member> members = membership.members();
    members.keySet().stream()
        .sorted()
        .filter(name -> counts(members.get(name)))
        .forEach(name -> (members.get(name).version() >= version ? inForce : notReached).add(name));
    return new Reach(inForce, notReached);
  }

  private static boolean counts(Member member) {
    return member.health() != Member.Health.REPLACED && !member.vm().leaving();
  }

  /**
   * Sends the version on and returns its reach once it is everywhere, or after the longest wait.
   */
  Reach await(long version) {
    long untilMs = clock.monotonicMs() + MAX_WAIT_MS;
    Reach reach = reach(version);
    while (!reach.notReached().isEmpty() && clock.monotonicMs() < untilMs) {
      push(reach.notReached());
      reach = reach(version);
      if (reach.notReached().isEmpty() || onlyUnreachable(reach.notReached()) || !pause()) {
        break;
      }
    }
    return reach;
  }

  private void push(List<String> names) {
    for (String name : names.subList(0, Math.min(PUSHES_PER_ROUND, names.size()))) {
      membership.find(name).filter(vm -> !vm.leaving()).ifPresent(heartbeats::exchange);
    }
  }

  /** A proxy that is suspected by now has not answered several messages. */
  private boolean onlyUnreachable(List<String> names) {
    List<String> live = membership.live().stream().map(Vm::name).toList();
    return names.stream().noneMatch(live::contains);
  }

  private boolean pause() {
    try {
      clock.sleepMs(PAUSE_MS);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
