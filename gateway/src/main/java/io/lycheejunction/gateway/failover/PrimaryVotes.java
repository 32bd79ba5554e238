package io.lycheejunction.gateway.failover;

import io.lycheejunction.core.failover.PreVote;
import io.lycheejunction.core.failover.ReplacementOrder;
import io.lycheejunction.gateway.target.Targets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/** The votes of VMs on whether a service's primary is gone, from the store and from peers. */
final class PrimaryVotes {
  /**
   * How long this VM's own vote may take through the store before it counts without it, in
   * milliseconds. The votes of others usually arrive in that time too, and need not be asked for.
   */
  private static final long OWN_VOTE_WAIT_MS = 200;

  /** The pause between two decisions after which the later one is the first of a new outage. */
  private static final long NEW_OUTAGE_AFTER_MS = 1_000;

  private final FailoverContext failover;
  private final String service;
  private final PeerVotes peerVotes;
  private String primaryInQuestion = "";
  private long inQuestionSinceMs;
  private long lastDecisionMs;

  PrimaryVotes(FailoverContext failover, String service) {
    this.failover = failover;
    this.service = service;
    this.peerVotes = new PeerVotes(failover, service);
  }

  /**
   * Returns whether a primary that this VM considers gone counts as gone. VMs that have not voted
   * are asked first if the votes of the others would be enough, unless all VMs will be asked to
   * release the primary anyway. A primary that this VM does not know counts as gone only once its
   * registration would have returned.
   *
   * @param primary the identifier of the primary
   * @return granted, denied, or open while answers of VMs or a registration are pending
   */
  PreVote.Outcome decide(String primary) {
    recordDecision(primary);
    Map<String, String> vms = knownVms(primary);
    List<Vote> votes = allVotes(primary);
    Set<String> notVoted = new HashSet<>(vms.keySet());
    votesOn(primary, votes).forEach(vote -> notVoted.remove(vote.vm()));
    boolean registered = isRegistered(primary);
    PreVote.Outcome outcome = FailureQuorum.decide(vms, primary, votes, registered);
    boolean askedLater = registered && failover.leases().use().needsLease();
    if (mayBeGranted(vms, primary, votes) && mayAsk(vms, outcome, askedLater)) {
      peerVotes.ask(primary, notVoted);
    }
    boolean awaitsVotes = !askedLater && !peerVotes.haveReplied(notVoted);
    boolean isPending = awaitsVotes || mayBeRegistered(primary);
    return outcome == PreVote.Outcome.GRANTED && isPending ? PreVote.Outcome.OPEN : outcome;
  }

  /**
   * Returns whether a primary that this VM does not know may still be registered: registrations
   * that have lapsed while the store was down return one after the other. The time in which this VM
   * does not reach the store does not count.
   */
  private boolean mayBeRegistered(String primary) {
    long questionAgeMs = failover.scheduler().nowMs() - inQuestionSinceMs;
    return primary.isEmpty() && questionAgeMs < Targets.DROP_AFTER_MS;
  }

  /**
   * Returns whether this VM may ask others for their votes now. Where there are many holders they
   * ask in turns, once the votes have had time to arrive through the store.
   */
  private boolean mayAsk(Map<String, String> vms, PreVote.Outcome outcome, boolean askedLater) {
    if (ReplacementTurn.isFew(vms.size())) {
      return true;
    }
    boolean granted = outcome == PreVote.Outcome.GRANTED;
    if (granted && askedLater) {
      return false;
    }
    long questionAgeMs = failover.scheduler().nowMs() - inQuestionSinceMs;
    long waitedMs = granted ? questionAgeMs : questionAgeMs - OWN_VOTE_WAIT_MS;
    long turn = waitedMs / ReplacementTurn.STEP_MS % vms.size();
    return waitedMs >= 0 && turn == ReplacementOrder.positionOf(failover.vm(), service, vms);
  }

  /**
   * Returns the position of this VM among those that may replace a primary, which are those that
   * have reported it gone. If the votes in the store are not enough, this VM knows more from
   * answers to its own requests, and does not wait for others.
   *
   * @param primary the identifier of the primary
   * @return the position, 0 for the VM that starts first
   */
  int startPosition(String primary) {
    Map<String, String> vms = new HashMap<>(failover.store().liveVms());
    vms.put(failover.vm(), failover.failureDomain());
    Map<String, String> reportingGone = new HashMap<>();
    reportingGone.put(failover.vm(), failover.failureDomain());
    List<Vote> stored = new ArrayList<>();
    for (Vote vote : failover.store().votes(service)) {
      if (vote.vm().equals(failover.vm())) {
        continue;
      }
      stored.add(vote);
      if (vote.primary().equals(primary)) {
        vms.put(vote.vm(), vote.failureDomain());
        if (vote.gone()) {
          reportingGone.put(vote.vm(), vote.failureDomain());
        }
      }
    }
    stored.add(new Vote(failover.vm(), failover.failureDomain(), primary, true));
    boolean enough =
        FailureQuorum.decide(vms, primary, stored, isRegistered(primary))
            == PreVote.Outcome.GRANTED;
    return enough ? ReplacementOrder.positionOf(failover.vm(), service, reportingGone) : 0;
  }

  private boolean isRegistered(String primary) {
    return failover.targets().find(primary).isPresent();
  }

  private void recordDecision(String primary) {
    long nowMs = failover.scheduler().nowMs();
    boolean cannotReturn = primary.isEmpty() && !failover.store().isReachable();
    boolean isNewOutage = nowMs - lastDecisionMs > NEW_OUTAGE_AFTER_MS;
    if (!primary.equals(primaryInQuestion) || isNewOutage || cannotReturn) {
      primaryInQuestion = primary;
      inQuestionSinceMs = nowMs;
    }
    lastDecisionMs = nowMs;
  }

  /**
   * Returns how long ago this VM has read the newest report of another one that a primary is gone,
   * in milliseconds, or empty if there is none.
   */
  OptionalLong reportAgeMs(String primary) {
    return failover.store().reportAgeMs(service, primary, failover.vm());
  }

  /** Returns whether the votes are enough if VMs that have not voted are left out. */
  private static boolean mayBeGranted(Map<String, String> vms, String primary, List<Vote> votes) {
    return FailureQuorum.decide(vms, primary, votes, false) == PreVote.Outcome.GRANTED;
  }

  /** Returns the failure domains of the VMs that may reach the primary, keyed by VM name. */
  private Map<String, String> knownVms(String primary) {
    Map<String, String> vms = new HashMap<>(failover.store().liveVms());
    peerVotes.vmsWithoutGateway().forEach(vms::remove);
    vms.put(failover.vm(), failover.failureDomain());
    votesOn(primary, allVotes(primary)).forEach(vote -> vms.put(vote.vm(), vote.failureDomain()));
    return vms;
  }

  private static List<Vote> votesOn(String primary, List<Vote> votes) {
    return votes.stream().filter(vote -> vote.primary().equals(primary)).toList();
  }

  /**
   * Returns one vote per VM, which is this VM's on the primary in question, and may be another
   * one's on another primary. A direct answer overrides a vote in the store.
   */
  private List<Vote> allVotes(String primary) {
    Map<String, Vote> byVm = new HashMap<>();
    failover.store().votes(service).forEach(vote -> byVm.put(vote.vm(), vote));
    peerVotes.votes().forEach(vote -> byVm.put(vote.vm(), vote));
    if (failover.scheduler().nowMs() - inQuestionSinceMs >= OWN_VOTE_WAIT_MS) {
      Vote own = new Vote(failover.vm(), failover.failureDomain(), primary, true);
      byVm.put(own.vm(), own);
    }
    return List.copyOf(byVm.values());
  }
}
