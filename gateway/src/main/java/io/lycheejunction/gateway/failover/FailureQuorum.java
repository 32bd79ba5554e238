package io.lycheejunction.gateway.failover;

import io.lycheejunction.core.failover.PreVote;
import io.lycheejunction.gateway.lease.VoterSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides from the votes of VMs whether a primary is gone.
 *
 * <p>Each failure domain has one vote: the primary is gone if most of the domain's VMs report it
 * gone, where a VM that has not voted counts as reaching it. A majority of the failure domains must
 * vote gone, so that a single isolated domain cannot replace a primary, and a domain that is
 * isolated together with the primary cannot prevent its replacement. In addition, more VMs must
 * report the primary gone than report that they reach it.
 *
 * <p>A VM may know less than the others, since it has just started or has missed a promotion. So no
 * primary that it does not know is replaced while any VM reaches one.
 */
public final class FailureQuorum {

  private FailureQuorum() {}

  /**
   * Returns whether the votes are enough to treat a primary as gone.
   *
   * @param vms the failure domain of each running VM, keyed by VM name
   * @param primary the identifier of the primary in question, or an empty text if it is not known
   * @param votes the votes of VMs, at most one per VM; of those on other primaries, the votes that
   *     report a primary gone are ignored
   * @param registered whether the primary is registered in the store, or was until recently; if
   *     not, one vote for gone is enough unless as many VMs vote against it, or any VM reaches
   *     another primary
   * @return granted if the primary counts as gone, else denied
   */
  public static PreVote.Outcome decide(
      Map<String, String> vms, String primary, List<Vote> votes, boolean registered) {
    Set<String> reportingGone = new HashSet<>();
    int total = 0;
    for (Vote vote : votes) {
      if (vote.primary().equals(primary)) {
        total += vote.gone() ? 1 : -1;
        if (vote.gone()) {
          reportingGone.add(vote.vm());
        }
      }
    }
    boolean reachesOther =
        votes.stream().anyMatch(vote -> !vote.gone() && !vote.primary().equals(primary));
    if (total <= 0 || primary.isEmpty() && reachesOther) {
      return PreVote.Outcome.DENIED;
    }
    if (!registered && !reachesOther) {
      return PreVote.Outcome.GRANTED;
    }
    return VoterSet.of(vms).decides(reportingGone)
        ? PreVote.Outcome.GRANTED
        : PreVote.Outcome.DENIED;
  }
}
