package io.lycheejunction.gateway.failover;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.clock.SuspensionCheck;
import io.lycheejunction.gateway.lease.ReleaseReply;
import io.lycheejunction.gateway.lease.VoterSet;
import io.lycheejunction.gateway.peer.PeerAnswer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Asks all holders to release a primary before it is replaced, and determines when no VM holds a
 * lease on it any more.
 *
 * <p>A VM holds a lease only if enough VMs have granted it that the others cannot satisfy the
 * quorum. So once a quorum has released the primary, each VM that may still hold a lease has been
 * granted one by a member of the quorum, which reports how long it remains valid.
 *
 * <p>The round ends with the quorum, without waiting for VMs that do not answer. Later replies
 * still count, since the wait ends early if all VMs have released the primary. A VM that refuses is
 * asked again, as it may not have noticed yet that the primary does not answer.
 */
final class ReleaseRound {
  /** The interval between two requests to a VM that refuses, in milliseconds. */
  static final long RETRY_INTERVAL_MS = 50;

  /** How long VMs that refuse are asked again, in milliseconds. */
  static final long MAX_RETRY_MS = 600;

  /** How long VMs that refuse may keep the round from its quorum, in milliseconds. */
  static final long MAX_REFUSAL_MS = 200;

  /** By how much clock rates may let two VMs differ over the duration of a lease. */
  private static final long CLOCK_RATE_MARGIN_MS = 20;

  /**
   * Added to the remaining time of leases: the clock of their holder may lack the time of a
   * suspension that is too short to be noticed, and clock rates differ between VMs.
   */
  static final long CLOCK_MARGIN_MS = SuspensionCheck.TOLERANCE_MS + CLOCK_RATE_MARGIN_MS;

  private static final EventLog LOG = EventLog.of(ReleaseRound.class);

  /** Receives the progress of the round. */
  interface Listener {

    /** Called once: a quorum has released the primary. */
    void onQuorum();

    /** Called once instead: too few VMs have released the primary. */
    void onDenied();

    /** Called after the quorum, for each later reply of a VM. */
    void onLaterReply();
  }

  private final FailoverContext failover;
  private final String service;
  private final String primary;
  private final VoterSet voters;
  private final Set<String> holders;
  private final long holdersAsOfMs;
  private final long startedMs;
  private final Listener listener;
  private final Map<String, ReleaseReply> replies = new HashMap<>();
  private final Map<String, Long> leasedUntilMs = new HashMap<>();
  private final Set<String> inFlight = new HashSet<>();
  private boolean decided;
  private boolean cancelled;

  /**
   * Creates a round that has not started.
   *
   * @param failover the state and services that failover shares
   * @param service the service
   * @param primary the identifier of the primary, or an empty text if none is known
   * @param listener receives the progress
   */
  ReleaseRound(FailoverContext failover, String service, String primary, Listener listener) {
    this.failover = Objects.requireNonNull(failover, "failover is null");
    this.service = Objects.requireNonNull(service, "service is null");
    this.primary = Objects.requireNonNull(primary, "primary is null");
    this.listener = Objects.requireNonNull(listener, "listener is null");
    this.voters = failover.leases().voters().voters();
    this.holders = new HashSet<>(failover.store().liveVms().keySet());
    this.holders.addAll(voters.groupByVm().keySet());
    this.holders.add(failover.vm());
    this.startedMs = failover.scheduler().nowMs();
    this.holdersAsOfMs = startedMs - failover.leases().voters().ageMs();
  }

  /**
   * Asks all holders.
   *
   * @param own this VM's reply
   */
  void start(ReleaseReply own) {
    Set<String> others = new HashSet<>(holders);
    others.remove(failover.vm());
    inFlight.addAll(others);
    record(own);
    others.forEach(this::request);
    decideIfPossible();
  }

  /** Asks no VM any more. */
  void cancel() {
    cancelled = true;
  }

  /** Returns the time from which no VM holds a granted lease, in milliseconds. */
  long unusedFromMs() {
    long unusedFromMs = startedMs;
    for (Map.Entry<String, Long> lease : leasedUntilMs.entrySet()) {
      if (!hasReleased(lease.getKey())) {
        unusedFromMs = Math.max(unusedFromMs, lease.getValue() + CLOCK_MARGIN_MS);
      }
    }
    return unusedFromMs;
  }

  /** Returns whether all holders that this VM knows have released the primary. */
  boolean isReleasedByAll() {
    return holders.stream().allMatch(this::hasReleased);
  }

  /** Returns when this VM requested the known holders from the store, in milliseconds. */
  long holdersAsOfMs() {
    return holdersAsOfMs;
  }

  private void request(String vm) {
    failover.leases().client().release(vm, service, primary, answer -> onAnswer(vm, answer));
  }

  private void onAnswer(String vm, PeerAnswer<ReleaseReply> answer) {
    inFlight.remove(vm);
    if (cancelled) {
      return;
    }
    if (answer instanceof PeerAnswer.Replied<ReleaseReply> replied) {
      record(replied.value());
      retryIfRefused(vm);
    }
    if (decided) {
      listener.onLaterReply();
    } else {
      decideIfPossible();
    }
  }

  private void record(ReleaseReply reply) {
    replies.put(reply.vm(), reply);
    long nowMs = failover.scheduler().nowMs();
    reply.remainingMs().forEach((vm, ms) -> leasedUntilMs.merge(vm, nowMs + ms, Math::max));
  }

  private void retryIfRefused(String vm) {
    long nextMs = failover.scheduler().nowMs() + RETRY_INTERVAL_MS;
    if (hasReleased(vm) || nextMs - startedMs > MAX_RETRY_MS) {
      return;
    }
    inFlight.add(vm);
    failover.scheduler().schedule(RETRY_INTERVAL_MS, () -> retry(vm));
  }

  private void retry(String vm) {
    if (!cancelled) {
      request(vm);
    }
  }

  private void decideIfPossible() {
    if (decided || cancelled) {
      return;
    }
    int released = (int) holders.stream().filter(this::hasReleased).count();
    boolean certain = 2 * released > holders.size();
    if (isQuorum() && (certain || isOver())) {
      decide(released, released > refusals());
    } else if (isOver()) {
      decide(released, false);
    }
  }

  private void decide(int released, boolean granted) {
    decided = true;
    LOG.info(
        "primary_released",
        "service",
        service,
        "primary",
        primary,
        "vms",
        holders.size(),
        "released",
        released,
        "refused",
        refusals(),
        "granted",
        granted,
        "took_ms",
        failover.scheduler().nowMs() - startedMs);
    if (granted) {
      listener.onQuorum();
    } else {
      cancelled = true;
      listener.onDenied();
    }
  }

  /** Returns whether all VMs have answered or timed out, and have had time to change their mind. */
  private boolean isOver() {
    if (inFlight.isEmpty()) {
      return true;
    }
    boolean onlyRefusing =
        inFlight.stream().allMatch(vm -> replies.containsKey(vm) && !hasReleased(vm));
    return onlyRefusing && failover.scheduler().nowMs() - startedMs >= MAX_REFUSAL_MS;
  }

  private boolean isQuorum() {
    Set<String> agreeing = new HashSet<>();
    for (ReleaseReply reply : replies.values()) {
      if (reply.released() && reply.voter()) {
        agreeing.add(reply.vm());
      }
    }
    return voters.decides(agreeing);
  }

  private long refusals() {
    return replies.values().stream().filter(reply -> !reply.released()).count();
  }

  private boolean hasReleased(String vm) {
    ReleaseReply reply = replies.get(vm);
    return reply != null && reply.released();
  }
}
