package io.lycheejunction.gateway.holder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Failures: VMs that send an organisation to different holders, each of which opens connections for
 * it; a lost holder whose loss moves the organisations of the others. Load: 73 organisations, six
 * services and six holders.
 */
class HolderPlacementTest {
  private static final int ORGANISATIONS = 73;
  private static final int SERVICES = 6;
  private static final List<String> HOLDERS =
      List.of("a-v1", "a-v2", "b-v1", "b-v2", "c-v1", "c-v2");

  /** Returns the first holder of each organisation and service. */
  private static Map<String, String> firstHolders(List<String> holders) {
    Map<String, String> first = new HashMap<>();
    for (int organisation = 0; organisation < ORGANISATIONS; organisation++) {
      for (int service = 0; service < SERVICES; service++) {
        String name = "org-" + organisation;
        first.put(
            name + "/s-" + service,
            HolderPlacement.order(holders, name, "s-" + service).getFirst());
      }
    }
    return first;
  }

  @Test
  void shouldAgreeWhenVmsKnowHoldersInDifferentOrders() {
    List<String> reversed = new ArrayList<>(HOLDERS);
    Collections.reverse(reversed);

    assertEquals(firstHolders(HOLDERS), firstHolders(reversed));
  }

  /** Failure: two versions of the program, side by side during an update, choose differently. */
  @Test
  void shouldKeepOrderWhenProgramIsUpdated() {
    assertEquals(
        List.of("c-v1", "b-v2", "a-v2", "b-v1", "a-v1", "c-v2"),
        HolderPlacement.order(HOLDERS, "acme", "ledger"));
  }

  @Test
  void shouldSpreadOrganisationsEvenlyWhenTheyAreMany() {
    Map<String, Integer> counts = new HashMap<>();
    firstHolders(HOLDERS).values().forEach(holder -> counts.merge(holder, 1, Integer::sum));

    int mean = ORGANISATIONS * SERVICES / HOLDERS.size();
    for (String holder : HOLDERS) {
      int count = counts.get(holder);
      assertTrue(count > mean * 0.7 && count < mean * 1.3, counts.toString());
    }
  }

  @Test
  void shouldMoveOnlyOrganisationsOfLostHolderAndSpreadThemWhenOneIsLost() {
    Map<String, String> before = firstHolders(HOLDERS);
    Map<String, String> after = firstHolders(HOLDERS.subList(1, HOLDERS.size()));

    Map<String, Integer> moved = new HashMap<>();
    before.forEach(
        (pair, holder) -> {
          if (holder.equals(HOLDERS.getFirst())) {
            moved.merge(after.get(pair), 1, Integer::sum);
          } else {
            assertEquals(holder, after.get(pair));
          }
        });
    assertEquals(HOLDERS.size() - 1, moved.size(), moved.toString());
  }
}
