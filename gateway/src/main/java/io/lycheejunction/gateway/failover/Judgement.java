package io.lycheejunction.gateway.failover;

import io.lycheejunction.core.failover.PreVote;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides from the votes of VMs whether a primary is gone.
 *
 * <p>Each failure domain has one voice: it sees the primary gone if most of its voting VMs do. A
 * majority of the failure domains must, so that one domain that is cut off replaces nothing. And
 * more VMs must see it gone than may still reach it, since those would lose it. VMs that don't vote
 * may still reach it, unless it has disappeared from the store too.
 */
public final class Judgement {

  private Judgement() {}

  /**
   * Returns what the votes decide.
   *
   * @param domains the failure domains that have VMs
   * @param primary the identifier of the primary in question
   * @param votes the votes of VMs
   * @param silentVms the VMs that have not voted
   * @param registered whether the primary is still registered in the store
   * @return the outcome
   */
  public static PreVote.Outcome of(
      Set<String> domains, String primary, List<Vote> votes, int silentVms, boolean registered) {
    Map<String, Integer> balance = new HashMap<>();
    int total = 0;
    for (Vote vote : votes) {
      if (vote.primary().equals(primary)) {
        int weight = vote.gone() ? 1 : -1;
        balance.merge(vote.failureDomain(), weight, Integer::sum);
        total += weight;
      }
    }
    if (!registered) {
      return total > 0 ? PreVote.Outcome.GRANTED : PreVote.Outcome.DENIED;
    }
    if (total <= silentVms) {
      return PreVote.Outcome.DENIED;
    }
    PreVote preVote = new PreVote(domains, Map.of());
    for (Map.Entry<String, Integer> domain : balance.entrySet()) {
      preVote = preVote.cast(domain.getKey(), domain.getValue() > 0);
    }
    return preVote.outcome();
  }
}
