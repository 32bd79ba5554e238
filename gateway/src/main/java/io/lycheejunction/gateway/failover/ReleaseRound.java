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
 * Asks the holders to release a primary before it is replaced, and determines when no VM holds a
 * lease on it any more.
 *
 * <p>A VM holds a lease only if enough VMs have granted it that the others cannot satisfy the
 * quorum. So once a quorum has released the primary, each VM that may still hold a lease has been
 * granted one by a member of the quorum, which reports how long it remains valid.
 *
 * <p>The quorum is the first majority of the seats, whose VMs are the voters; where there are few
 * holders, all are asked at once, and more than half of them have to release the primary besides.
 * Later replies still count: the wait for leases ends early if all holders have released the
 * primary, and the release is denied if at least as many have refused it once all have answered.
 * Where there are many holders, those without a seat are asked only after the quorum, so that a
 * round without a quorum costs no more messages than there are voters.
 *
 * <p>A VM that refuses is asked again, as it may not have noticed yet that the primary does not
 * answer. Where there are many holders, the interval doubles, and voters that do not answer are
 * asked again too, since a message may be lost.
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

    /** Called before a VM is asked. */
    void onAsked(String vm);

    /** Called once: a quorum has released the primary. */
    void onQuorum();

    /**
     * Called at most once: too few VMs have released the primary. After the quorum, this means that
     * at least as many have refused.
     */
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
  private final Map<String, Integer> requests = new HashMap<>();
  private final boolean few;
  private long allAskedMs;
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
    this.few = ReplacementTurn.isFew(holders.size());
    this.startedMs = failover.scheduler().nowMs();
    this.allAskedMs = startedMs;
    this.holdersAsOfMs = startedMs - failover.leases().voters().ageMs();
  }

  /**
   * Asks the voters, and all other holders too if there are few.
   *
   * @param own this VM's reply
   */
  void start(ReleaseReply own) {
    record(own);
    ask(few ? holders : voters.groupByVm().keySet());
    decideIfPossible();
  }

  /** Asks those of some VMs that have not been asked yet. */
  private void ask(Set<String> vms) {
    Set<String> unasked = new HashSet<>(vms);
    unasked.remove(failover.vm());
    unasked.removeAll(requests.keySet());
    if (unasked.isEmpty()) {
      return;
    }
    allAskedMs = failover.scheduler().nowMs();
    inFlight.addAll(unasked);
    unasked.forEach(vm -> requests.put(vm, 0));
    unasked.forEach(this::request);
  }

  /** Asks no VM any more. */
  void cancel() {
    cancelled = true;
  }

  /** Returns when the last VM was asked for the first time, in milliseconds. */
  long allAskedMs() {
    return allAskedMs;
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
    requests.merge(vm, 1, Integer::sum);
    listener.onAsked(vm);
    failover.leases().client().release(vm, service, primary, answer -> onAnswer(vm, answer));
  }

  private void onAnswer(String vm, PeerAnswer<ReleaseReply> answer) {
    boolean expected = inFlight.remove(vm);
    if (cancelled || !expected) {
      return;
    }
    switch (answer) {
      case PeerAnswer.Replied<ReleaseReply> replied -> {
        record(replied.value());
        retryUnlessReleased(vm);
      }
      case PeerAnswer.Silent<ReleaseReply> silent -> {
        if (!few && !decided) {
          retryUnlessReleased(vm);
        }
      }
      case PeerAnswer.Absent<ReleaseReply> absent -> {}
    }
    if (decided && isOver() && isRefused()) {
      deny();
    } else if (decided) {
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

  private void retryUnlessReleased(String vm) {
    long delayMs = few ? RETRY_INTERVAL_MS : RETRY_INTERVAL_MS << (requests.get(vm) - 1);
    long nextMs = failover.scheduler().nowMs() + delayMs;
    if (hasReleased(vm) || nextMs - startedMs > MAX_RETRY_MS) {
      return;
    }
    inFlight.add(vm);
    failover.scheduler().schedule(delayMs, () -> retry(vm));
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
    boolean enough = !few || 2 * released() > holders.size() || isOver();
    if (isQuorum() && !isRefused() && enough) {
      logDecision(true);
      decided = true;
      ask(holders);
      if (!cancelled) {
        listener.onQuorum();
      }
    } else if (isOver()) {
      deny();
    }
  }

  /** Returns whether at least as many VMs have refused the release as have released the primary. */
  boolean isRefused() {
    return released() <= refusals();
  }

  /** Ends the round without a release. */
  void deny() {
    logDecision(false);
    decided = true;
    cancelled = true;
    listener.onDenied();
  }

  private void logDecision(boolean granted) {
    LOG.info(
        "primary_released",
        "service",
        service,
        "primary",
        primary,
        "vms",
        holders.size(),
        "released",
        released(),
        "refused",
        refusals(),
        "granted",
        granted,
        "took_ms",
        failover.scheduler().nowMs() - startedMs);
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

  private long released() {
    return replies.values().stream().filter(ReleaseReply::released).count();
  }

  private long refusals() {
    return replies.values().stream().filter(reply -> !reply.released()).count();
  }

  private boolean hasReleased(String vm) {
    ReleaseReply reply = replies.get(vm);
    return reply != null && reply.released();
  }
}
