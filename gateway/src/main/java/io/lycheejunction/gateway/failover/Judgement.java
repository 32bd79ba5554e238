package io.lycheejunction.gateway.failover;

import io.lycheejunction.core.failover.PreVote;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides from the votes of VMs whether a primary is gone.
 *
 * <p>Each failure domain has one voice: it sees the primary gone if most of its VMs say so, where
 * VMs that have not voted may still reach it. A majority of the failure domains must, so that one
 * domain that is cut off replaces nothing, and one that is cut off with the primary can't prevent
 * it. And more VMs must see it gone than say that they reach it.
 */
public final class Judgement {

  private Judgement() {}

  /**
   * Returns what the votes decide.
   *
   * @param vms the failure domain of each VM that is there, by its name
   * @param primary the identifier of the primary in question
   * @param votes the votes of VMs
   * @param registered whether the primary is registered in the store, or was until a moment ago; if
   *     not, one voice is enough
   * @return the outcome
   */
  public static PreVote.Outcome of(
      Map<String, String> vms, String primary, List<Vote> votes, boolean registered) {
    Map<String, Integer> balance = new HashMap<>();
    Set<String> silent = new HashSet<>(vms.keySet());
    int total = 0;
    for (Vote vote : votes) {
      if (vote.primary().equals(primary)) {
        int weight = vote.gone() ? 1 : -1;
        balance.merge(vote.failureDomain(), weight, Integer::sum);
        total += weight;
        silent.remove(vote.vm());
      }
    }
    if (total <= 0) {
      return PreVote.Outcome.DENIED;
    }
    if (!registered) {
      return PreVote.Outcome.GRANTED;
    }
    silent.forEach(vm -> balance.merge(vms.get(vm), -1, Integer::sum));
    return outcome(Set.copyOf(vms.values()), balance);
  }

  private static PreVote.Outcome outcome(Set<String> domains, Map<String, Integer> balance) {
    PreVote preVote = new PreVote(domains, Map.of());
    for (Map.Entry<String, Integer> domain : balance.entrySet()) {
      preVote = preVote.cast(domain.getKey(), domain.getValue() > 0);
    }
    return preVote.outcome();
  }
}
