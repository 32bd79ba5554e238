package io.lycheejunction.core.membership;

import io.lycheejunction.core.port.Vm;
import java.util.Objects;

/**
 * The state of one other proxy, as this proxy knows it.
 *
 * @param vm its entry VM, with {@code leaving} as the platform's list or the proxy itself reports
 *     it
 * @param incarnation the number that the proxy increases to refute older reports about it
 * @param health whether it is considered to be running
 * @param listed true if the platform's latest list contains the VM
 * @param version the highest configuration version known to be in force on it
 * @param heardAtMs the monotonic time at which the last message from the proxy itself arrived, in
 *     milliseconds; {@link #NEVER_MS} if none has
 * @param changedAtMs the monotonic time at which health or leaving last changed, in milliseconds
 * @param failures the number of consecutive heartbeats that it has not answered
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
  /** The value of {@code heardAtMs} before the first message has arrived. */
  public static final long NEVER_MS = Long.MIN_VALUE / 2;

  /** Whether a proxy is considered to be running. */
  public enum Health {
    /** No failure is known. */
    ALIVE,
    /** It has not answered several consecutive heartbeats. */
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
   * Returns a member of which only the VM is known.
   *
   * @param vm the VM
   * @param nowMs the monotonic time in milliseconds
   * @return the member
   */
  static Member of(Vm vm, long nowMs) {
    return new Member(vm, 0, Health.ALIVE, false, 0, NEVER_MS, nowMs, 0);
  }

  Member withVm(Vm newVm) {
    return new Member(
        newVm, incarnation, health, listed, version, heardAtMs, changedAtMs, failures);
  }

  Member withListed(boolean newListed) {
    return new Member(
        vm, incarnation, health, newListed, version, heardAtMs, changedAtMs, failures);
  }

  Member withVersion(long reportedVersion) {
    return new Member(
        vm,
        incarnation,
        health,
        listed,
        Math.max(version, reportedVersion),
        heardAtMs,
        changedAtMs,
        failures);
  }

  Member withHealth(Health newHealth, long reportedIncarnation, long nowMs) {
    return new Member(
        vm,
        Math.max(incarnation, reportedIncarnation),
        newHealth,
        listed,
        version,
        heardAtMs,
        newHealth == health ? changedAtMs : nowMs,
        failures);
  }

  Member withFailure() {
    return new Member(
        vm, incarnation, health, listed, version, heardAtMs, changedAtMs, failures + 1);
  }

  /** Returns this member after the proxy itself sent a message. */
  Member withHeartbeat(Vm sender, long senderIncarnation, long senderVersion, long nowMs) {
    boolean changed = health != Health.ALIVE || vm.leaving() != sender.leaving();
    return new Member(
        sender,
        Math.max(incarnation, senderIncarnation),
        Health.ALIVE,
        listed,
        Math.max(version, senderVersion),
        nowMs,
        changed ? nowMs : changedAtMs,
        0);
  }

  /**
   * Returns whether the proxy is considered live: it is neither leaving nor replaced, and either no
   * failure is known or a message from the proxy itself arrived within {@link
   * MembershipState#DIRECT_TRUST_MS}.
   *
   * @param nowMs the monotonic time in milliseconds
   * @return true if it is considered live
   */
  boolean isLive(long nowMs) {
    if (vm.leaving() || health == Health.REPLACED) {
      return false;
    }
    return health == Health.ALIVE || nowMs - heardAtMs <= MembershipState.DIRECT_TRUST_MS;
  }
}
