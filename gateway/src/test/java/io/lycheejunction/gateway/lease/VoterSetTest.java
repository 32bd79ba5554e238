package io.lycheejunction.gateway.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class VoterSetTest {

  /** Returns VMs {@code a0}, {@code a1} and so on, as many in each failure domain as given. */
  private static Map<String, String> vms(int inA, int inB, int inC) {
    Map<String, String> vms = new HashMap<>();
    addVms(vms, "a", inA);
    addVms(vms, "b", inB);
    addVms(vms, "c", inC);
    return vms;
  }

  private static void addVms(Map<String, String> vms, String domain, int count) {
    for (int i = 0; i < count; i++) {
      vms.put(domain + i, domain);
    }
  }

  @Test
  void shouldPreventDecisionWhenMostVmsOfTwoDomainsRefuse() {
    assertTrue(VoterSet.of(vms(3, 3, 3)).canPrevent(Set.of("a0", "a1", "b0", "b1")));
  }

  /** Guards against a failure domain that is cut off together with the primary and goes on. */
  @Test
  void shouldNotPreventDecisionWhenOnlyOneDomainRefuses() {
    assertFalse(VoterSet.of(vms(3, 3, 3)).canPrevent(Set.of("a0", "a1", "a2")));
  }

  /**
   * Guards against two disjoint groups of VMs of which one holds a lease while the other decides to
   * replace the primary. All groups are tried.
   */
  @ParameterizedTest
  @CsvSource({"1,1,1", "2,2,2", "3,3,3", "4,1,2", "3,3,0", "3,0,0"})
  void shouldNotAllowDecisionWithoutThoseThatPreventIt(int inA, int inB, int inC) {
    Map<String, String> vms = vms(inA, inB, inC);
    String[] names = vms.keySet().toArray(String[]::new);
    for (int bits = 0; bits < 1 << names.length; bits++) {
      Set<String> group = new HashSet<>();
      Set<String> others = new HashSet<>();
      for (int i = 0; i < names.length; i++) {
        ((bits >> i & 1) == 1 ? group : others).add(names[i]);
      }
      VoterSet voters = VoterSet.of(vms);
      assertEquals(!voters.decides(others), voters.canPrevent(group), group.toString());
    }
  }

  /**
   * Guards against two views of the voters. A VM that is cut off does not know the new holder of
   * another failure domain, which decides with a third one to replace the primary: murmelpfad's
   * incident inc-76fa.
   */
  @Test
  void shouldNotPreventDecisionWhenTheHolderOfAnotherDomainIsNotKnown() {
    Map<String, Integer> seats = Map.of("a", 1, "b", 1, "c", 1);
    VoterSet outdated = new VoterSet(Map.of("a0", "a", "b0", "b"), seats);
    VoterSet current = new VoterSet(Map.of("a0", "a", "b0", "b", "c0", "c"), seats);

    assertTrue(current.decides(Set.of("b0", "c0")));
    assertFalse(outdated.canPrevent(Set.of("a0")));
  }

  @Test
  void shouldNotDecideWhenTooManySeatsAreVacant() {
    VoterSet voters = new VoterSet(Map.of("a0", "a"), Map.of("a", 1, "b", 1, "c", 1));

    assertFalse(voters.decides(Set.of("a0")));
  }

  /** Guards against leases of fewer VMs than half of the seats of a failure domain. */
  @Test
  void shouldCountVacantSeatsAgainstThoseThatPreventDecision() {
    Map<String, Integer> seats = Map.of("a", 3, "b", 3, "c", 3);
    VoterSet voters = new VoterSet(Map.of("a0", "a", "b0", "b", "b1", "b", "c0", "c"), seats);

    assertFalse(voters.canPrevent(Set.of("a0", "b0", "b1", "c0")));
  }
}
