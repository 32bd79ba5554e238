package io.lycheejunction.gateway.failover;

import io.lycheejunction.core.failover.PreVote;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The VMs that may reach a service's primary, and what they say of it. */
final class Electorate {
  private final Failover failover;
  private final String service;
  private final PeerVotes peerVotes;

  Electorate(Failover failover, String service) {
    this.failover = failover;
    this.service = service;
    this.peerVotes = new PeerVotes(failover, service);
  }

  /**
   * Returns whether a primary counts as gone; VMs that have not voted are asked first.
   *
   * @param primary the identifier of the primary
   * @return granted, denied, or open while VMs are being asked
   */
  PreVote.Outcome judge(String primary) {
    Map<String, String> vms = knownVms(primary);
    List<Vote> votes = votesOn(primary);
    Set<String> silent = new HashSet<>(vms.keySet());
    votes.forEach(vote -> silent.remove(vote.vm()));
    if (mayBeGranted(vms, primary, votes)) {
      peerVotes.ask(primary, silent);
    }
    boolean registered = failover.targets().find(primary).isPresent();
    PreVote.Outcome outcome = Judgement.of(vms, primary, votes, registered);
    if (outcome == PreVote.Outcome.GRANTED && !peerVotes.haveBeenAsked(silent)) {
      return PreVote.Outcome.OPEN;
    }
    return outcome;
  }

  /** Returns whether another VM has said that a primary is gone. */
  boolean isDoubtedByOthers(String primary) {
    return failover.board().votes(service).stream()
        .filter(vote -> vote.primary().equals(primary) && vote.gone())
        .anyMatch(vote -> !vote.vm().equals(failover.vm()));
  }

  /** Returns whether the votes would be enough if the VMs that have not voted did not count. */
  private static boolean mayBeGranted(Map<String, String> vms, String primary, List<Vote> votes) {
    return Judgement.of(vms, primary, votes, false) == PreVote.Outcome.GRANTED;
  }

  /** Returns the failure domain of each VM that may reach the primary, by its name. */
  private Map<String, String> knownVms(String primary) {
    Map<String, String> vms = new HashMap<>(failover.board().presentVms());
    peerVotes.absent().forEach(vms::remove);
    vms.put(failover.vm(), failover.failureDomain());
    votesOn(primary).forEach(vote -> vms.put(vote.vm(), vote.failureDomain()));
    return vms;
  }

  /** Returns the votes on a primary, one a VM; what a VM says directly goes first. */
  private List<Vote> votesOn(String primary) {
    Map<String, Vote> byVm = new HashMap<>();
    failover.board().votes(service).forEach(vote -> byVm.put(vote.vm(), vote));
    peerVotes.votes().forEach(vote -> byVm.put(vote.vm(), vote));
    return byVm.values().stream().filter(vote -> vote.primary().equals(primary)).toList();
  }
}
