package io.lycheejunction.gateway.lease;

import io.lycheejunction.core.failover.PreVote;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * The rule by which VMs decide together: a failure domain agrees if more than half of its VMs do,
 * and a majority of the failure domains has to agree. Two sets of VMs that both satisfy the rule
 * have a VM in common.
 */
public final class DomainQuorum {

  private DomainQuorum() {}

  /**
   * Returns the outcome if no other VMs agree than those given.
   *
   * @param vms the failure domain of each VM, keyed by VM name
   * @param agreeing the names of the VMs that agree; others than those in {@code vms} are ignored
   * @return granted if a majority of the failure domains agrees, else denied
   */
  public static PreVote.Outcome outcome(Map<String, String> vms, Set<String> agreeing) {
    Objects.requireNonNull(agreeing, "agreeing is null");
    PreVote preVote = new PreVote(Set.copyOf(vms.values()), Map.of());
    for (String domain : Set.copyOf(vms.values())) {
      preVote = preVote.cast(domain, hasMajorityIn(domain, vms, agreeing));
    }
    return preVote.outcome();
  }

  /**
   * Returns whether VMs can prevent a decision of all others.
   *
   * @param vms the failure domain of each VM, keyed by VM name
   * @param refusing the names of the VMs that do not agree
   * @return true if the other VMs are not enough for a decision
   */
  public static boolean canPrevent(Map<String, String> vms, Set<String> refusing) {
    Set<String> others = new HashSet<>(vms.keySet());
    others.removeAll(refusing);
    return outcome(vms, others) != PreVote.Outcome.GRANTED;
  }

  private static boolean hasMajorityIn(
      String domain, Map<String, String> vms, Set<String> agreeing) {
    int balance = 0;
    for (Map.Entry<String, String> vm : vms.entrySet()) {
      if (vm.getValue().equals(domain)) {
        balance += agreeing.contains(vm.getKey()) ? 1 : -1;
      }
    }
    return balance > 0;
  }
}
