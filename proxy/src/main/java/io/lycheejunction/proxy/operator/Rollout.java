package io.lycheejunction.proxy.operator;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.membership.Member;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.proxy.membership.HeartbeatExchange;
import io.lycheejunction.proxy.membership.Membership;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** Tracks on which proxies a version is in force, and pushes it to those that lack it. */
final class Rollout {
  /** The longest wait for a version to be in force everywhere, in milliseconds. */
  static final long MAX_WAIT_MS = 15_000;

  private static final long POLL_INTERVAL_MS = 250;
  private static final int PUSHES_PER_ROUND = 16;

  private final Membership membership;
  private final HeartbeatExchange heartbeats;
  private final RuntimeClock clock;

  Rollout(Membership membership, HeartbeatExchange heartbeats, RuntimeClock clock) {
    this.membership = Objects.requireNonNull(membership, "membership is null");
    this.heartbeats = Objects.requireNonNull(heartbeats, "heartbeats is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
  }

  /** Returns the status of the version, from the versions that heartbeats have reported. */
  RolloutStatus status(long version) {
    List<String> inForce = new ArrayList<>(List.of(membership.self().name()));
    List<String> notReached = new ArrayList<>();
    Map<String, Member> members = membership.members();
    members.keySet().stream()
        .sorted()
        .filter(name -> isExpected(members.get(name)))
        .forEach(name -> (members.get(name).version() >= version ? inForce : notReached).add(name));
    return new RolloutStatus(inForce, notReached);
  }

  private static boolean isExpected(Member member) {
    return member.health() != Member.Health.REPLACED && !member.vm().leaving();
  }

  /**
   * Pushes the version to the proxies that lack it and returns its status once it is in force on
   * all, once only unreachable proxies lack it, or after the longest wait.
   */
  RolloutStatus await(long version) {
    long untilMs = clock.monotonicMs() + MAX_WAIT_MS;
    RolloutStatus status = status(version);
    while (!status.notReached().isEmpty() && clock.monotonicMs() < untilMs) {
      push(status.notReached());
      status = status(version);
      if (status.notReached().isEmpty() || onlyUnreachable(status.notReached()) || !pause()) {
        break;
      }
    }
    return status;
  }

  private void push(List<String> names) {
    for (String name : names.subList(0, Math.min(PUSHES_PER_ROUND, names.size()))) {
      membership.find(name).filter(vm -> !vm.leaving()).ifPresent(heartbeats::exchange);
    }
  }

  /**
   * Returns whether none of the proxies is live; a proxy is suspected only after it has left
   * several messages unanswered.
   */
  private boolean onlyUnreachable(List<String> names) {
    List<String> live = membership.live().stream().map(Vm::name).toList();
    return names.stream().noneMatch(live::contains);
  }

  private boolean pause() {
    try {
      clock.sleepMs(POLL_INTERVAL_MS);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
