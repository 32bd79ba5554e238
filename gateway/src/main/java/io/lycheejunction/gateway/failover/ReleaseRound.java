package io.lycheejunction.gateway.failover;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.clock.SuspensionCheck;
import io.lycheejunction.gateway.lease.ReleaseReply;
import io.lycheejunction.gateway.lease.VoterSet;
import io.lycheejunction.gateway.peer.PeerAnswer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Asks all holders to release a primary before it is replaced, and determines when no VM holds a
 * lease on it any more.
 *
 * <p>A VM holds a lease only if enough VMs have granted it that the others cannot satisfy the
 * quorum. So once a quorum has released the primary, each VM that may still hold a lease has been
 * granted one by a member of the quorum, which reports how long it remains valid.
 */
final class ReleaseRound {
  /** By how much clock rates may let two VMs differ over the duration of a lease. */
  private static final long CLOCK_RATE_MARGIN_MS = 20;

  /**
   * Added to the remaining time of leases: the clock of their holder may lack the time of a
   * suspension that is too short to be noticed, and clock rates differ between VMs.
   */
  static final long CLOCK_MARGIN_MS = SuspensionCheck.TOLERANCE_MS + CLOCK_RATE_MARGIN_MS;

  private static final EventLog LOG = EventLog.of(ReleaseRound.class);

  /** The result of a round. */
  sealed interface Result {

    /**
     * A quorum has released the primary.
     *
     * @param unusedFromMs the time from which no VM holds a granted lease, in milliseconds
     * @param byAll true if all holders that this VM knows have released the primary
     * @param holdersAsOfMs the time at which this VM requested those holders from the store, in
     *     milliseconds
     */
    record Released(long unusedFromMs, boolean byAll, long holdersAsOfMs) implements Result {}

    /**
     * Too few voters have released the primary.
     *
     * @param voters the number of voters that have
     */
    record Denied(int voters) implements Result {}
  }

  private final FailoverContext failover;
  private final String service;
  private final String primary;
  private final VoterSet voters;
  private final Set<String> holders;
  private final long holdersAsOfMs;
  private final Consumer<Result> done;
  private final List<ReleaseReply> replies = new ArrayList<>();
  private int pending;

  private ReleaseRound(
      FailoverContext failover, String service, String primary, Consumer<Result> done) {
    this.failover = failover;
    this.service = service;
    this.primary = primary;
    this.voters = failover.leases().voters().voters();
    this.holders = new HashSet<>(failover.store().liveVms().keySet());
    this.holders.addAll(voters.groupByVm().keySet());
    this.holders.add(failover.vm());
    this.holdersAsOfMs = failover.scheduler().nowMs() - failover.leases().voters().ageMs();
    this.done = done;
  }

  /**
   * Asks all holders.
   *
   * @param failover the state and services that failover shares
   * @param service the service
   * @param primary the identifier of the primary, or an empty text if none is known
   * @param own this VM's reply
   * @param done is called once with the result
   */
  static void start(
      FailoverContext failover,
      String service,
      String primary,
      ReleaseReply own,
      Consumer<Result> done) {
    ReleaseRound round = new ReleaseRound(failover, service, primary, done);
    round.replies.add(own);
    Set<String> others = new HashSet<>(round.holders);
    others.remove(failover.vm());
    round.pending = others.size();
    if (others.isEmpty()) {
      round.end();
    }
    for (String vm : others) {
      failover.leases().client().release(vm, service, primary, round::onAnswer);
    }
  }

  private void onAnswer(PeerAnswer<ReleaseReply> answer) {
    if (answer instanceof PeerAnswer.Replied<ReleaseReply> replied) {
      replies.add(replied.value());
    }
    pending--;
    if (pending == 0) {
      end();
    }
  }

  private void end() {
    Set<String> released = new HashSet<>();
    Set<String> agreeing = new HashSet<>();
    for (ReleaseReply reply : replies) {
      if (reply.released()) {
        released.add(reply.vm());
      }
      if (reply.released() && reply.voter()) {
        agreeing.add(reply.vm());
      }
    }
    Result result =
        voters.decides(agreeing)
            ? new Result.Released(
                unusedFromMs(released), released.containsAll(holders), holdersAsOfMs)
            : new Result.Denied(agreeing.size());
    LOG.info(
        "primary_released",
        "service",
        service,
        "primary",
        primary,
        "vms",
        holders.size(),
        "released",
        released.size(),
        "result",
        result);
    done.accept(result);
  }

  private long unusedFromMs(Set<String> released) {
    long nowMs = failover.scheduler().nowMs();
    long unusedFromMs = nowMs;
    for (ReleaseReply reply : replies) {
      for (Map.Entry<String, Long> lease : reply.remainingMs().entrySet()) {
        if (!released.contains(lease.getKey())) {
          unusedFromMs = Math.max(unusedFromMs, nowMs + lease.getValue() + CLOCK_MARGIN_MS);
        }
      }
    }
    return unusedFromMs;
  }
}
