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
 * majority of the failure domains must, so that one domain that is cut off replaces nothing.
 */
public final class Judgement {

  private Judgement() {}

  /**
   * Returns what the votes decide.
   *
   * @param domains the failure domains of the service's targets
   * @param primary the identifier of the primary in question
   * @param votes the votes of VMs
   * @return the outcome
   */
  public static PreVote.Outcome of(Set<String> domains, String primary, List<Vote> votes) {
    Map<String, Integer> balance = new HashMap<>();
    for (Vote vote : votes) {
      boolean sameQuestion = vote.primary().equals(primary);
      if (sameQuestion) {
        balance.merge(vote.failureDomain(), vote.gone() ? 1 : -1, Integer::sum);
      }
    }
    PreVote preVote = new PreVote(domains, Map.of());
    for (Map.Entry<String, Integer> domain : balance.entrySet()) {
      preVote = preVote.cast(domain.getKey(), domain.getValue() > 0);
    }
    return preVote.outcome();
  }
}
