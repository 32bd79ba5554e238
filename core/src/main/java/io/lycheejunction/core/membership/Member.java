package io.lycheejunction.core.membership;

import io.lycheejunction.core.port.Vm;
import java.util.Objects;

/**
 * What is known of one proxy.
 *
 * @param vm its entry VM; {@code leaving} is the word of the list or of the proxy itself
 * @param incarnation the number by which the proxy refutes older reports on itself
 * @param health whether it is taken to run
 * @param listed true if the platform's last list has the VM
 * @param version the highest configuration version known to be in force on it
 * @param heardAtMs the time of its last own message, in milliseconds; {@link #NEVER_MS} if none
 * @param changedAtMs the time when health or leaving last changed, in milliseconds
 * @param failures the heartbeats in a row that it has not answered
 */
public record Member(
    Vm vm,
    long incarnation,
    Health health,
    boolean listed,
    long version,
    long heardAtMs,
    long changedAtMs,
    int failures) {
  /** The time of an event that has not happened. */
  public static final long NEVER_MS = Long.MIN_VALUE / 2;

  /** Whether a proxy is taken to run. */
  public enum Health {
    /** Nothing speaks against it. */
    ALIVE,
    /** It has not answered heartbeats. */
    SUSPECT,
    /** Another VM answers at its address. */
    REPLACED
  }

  /** Rejects null components. */
  public Member {
    Objects.requireNonNull(vm, "vm is null");
    Objects.requireNonNull(health, "health is null");
  }

  /**
   * Returns a member of which nothing but its VM is known.
   *
   * @param vm the VM
   * @param nowMs the time in milliseconds
   * @return the member
   */
  static Member of(Vm vm, long nowMs) {
    return new Member(vm, 0, Health.ALIVE, false, 0, NEVER_MS, nowMs, 0);
  }

  Member withVm(Vm fresh) {
    return new Member(
        fresh, incarnation, health, listed, version, heardAtMs, changedAtMs, failures);
  }

  Member withListed(boolean now) {
    return new Member(vm, incarnation, health, now, version, heardAtMs, changedAtMs, failures);
  }

  Member withVersion(long reported) {
    return new Member(
        vm,
        incarnation,
        health,
        listed,
        Math.max(version, reported),
        heardAtMs,
        changedAtMs,
        failures);
  }

  Member withHealth(Health next, long reported, long nowMs) {
    return new Member(
        vm,
        Math.max(incarnation, reported),
        next,
        listed,
        version,
        heardAtMs,
        next == health ? changedAtMs : nowMs,
        failures);
  }

  Member withFailure() {
    return new Member(
        vm, incarnation, health, listed, version, heardAtMs, changedAtMs, failures + 1);
  }

  /** Returns this member after a message of its own. */
  Member heard(Vm own, long reported, long ownVersion, long nowMs) {
    boolean changed = health != Health.ALIVE || vm.leaving() != own.leaving();
    return new Member(
        own,
        Math.max(incarnation, reported),
        Health.ALIVE,
        listed,
        Math.max(version, ownVersion),
        nowMs,
        changed ? nowMs : changedAtMs,
        0);
  }

  /**
   * Returns whether the proxy takes part: it is not leaving, and it was heard of directly within
   * the bound or nothing speaks against it.
   *
   * @param nowMs the time in milliseconds
   * @return true if it is taken to be live
   */
  boolean isLive(long nowMs) {
    if (vm.leaving() || health == Health.REPLACED) {
      return false;
    }
    return health == Health.ALIVE || nowMs - heardAtMs <= MembershipState.DIRECT_TRUST_MS;
  }
}
