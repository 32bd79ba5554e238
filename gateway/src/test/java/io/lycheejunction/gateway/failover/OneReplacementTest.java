package io.lycheejunction.gateway.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Failure: 12 holders replaced the same primary at once and asked each other for the release; their
 * answers took longer than 200 ms, and no replacement found a quorum in 4 s.
 */
class OneReplacementTest {
  private static final long LIMIT_MS = 20_000;
  private static final long NO_FAULT_LIMIT_MS = 400;

  /** A lease expiry of 3 s, and the time of one replacement whose VM is missed by others. */
  private static final long DEAD_LEASE_HOLDER_LIMIT_MS = 5_000;

  private static SimulatedHolders twelve(long seed) {
    SimulatedHolders fleet = new SimulatedHolders(3, 4, seed);
    fleet.runUntil(() -> false, 1_000);
    fleet.crashPrimary();
    return fleet;
  }

  private static String firstAsker(long seed) {
    SimulatedHolders fleet = twelve(seed);
    fleet.runUntilOrdered(LIMIT_MS);
    return fleet.askers.getFirst();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void shouldAskEachHolderOnceWhenTwelveSeeTheSameFailure(long seed) {
    SimulatedHolders fleet = twelve(seed);

    final long tookMs = fleet.runUntilOrdered(LIMIT_MS);
    fleet.runUntil(() -> false, 2_000);

    assertEquals(1, fleet.orders.size());
    assertTrue(tookMs <= NO_FAULT_LIMIT_MS, "took " + tookMs);
    assertEquals(1, fleet.askers.size(), fleet.askers + " " + fleet.network.sent);
    assertTrue(fleet.allSent() <= 2 * 12, "sent " + fleet.network.sent);
  }

  /** The load that was seen: each VM needs 30 ms for a message of another one. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void shouldFindQuorumWhenVmsAreSlowToAnswer(long seed) {
    SimulatedHolders fleet = new SimulatedHolders(3, 4, seed);
    fleet.serviceMs = 30;
    fleet.runUntil(() -> false, 1_000);
    fleet.crashPrimary();

    final long tookMs = fleet.runUntilOrdered(LIMIT_MS);

    assertEquals(1, fleet.orders.size());
    assertTrue(tookMs <= NO_FAULT_LIMIT_MS, "took " + tookMs);
    assertTrue(fleet.allSent() <= 2 * 12, "sent " + fleet.network.sent);
  }

  @Test
  void shouldSendMessagesInProportionToTheFailureDomains() {
    SimulatedHolders three = new SimulatedHolders(3, 4, 1);
    SimulatedHolders nine = new SimulatedHolders(9, 4, 1);
    for (SimulatedHolders fleet : List.of(three, nine)) {
      fleet.runUntil(() -> false, 1_000);
      fleet.crashPrimary();
      fleet.runUntilOrdered(LIMIT_MS);
    }

    assertFalse(nine.orders.isEmpty());
    assertTrue(
        nine.allSent() <= 4 * three.allSent(), three.network.sent + " and " + nine.network.sent);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void shouldOrderOncePerLeaseWhenMessagesAreLostLateAndDoubled(long seed) {
    SimulatedHolders fleet = twelve(seed);
    fleet.network.lost = 0.2;
    fleet.network.late = 0.2;
    fleet.network.doubled = 0.2;
    List<String> leased = new ArrayList<>();
    fleet.store.onLease = leased::add;

    final long tookMs = fleet.runUntilOrdered(LIMIT_MS);
    fleet.runUntil(() -> false, 2_000);

    assertTrue(tookMs <= 3_000, "took " + tookMs);
    assertEquals(List.of(leased.getLast()), fleet.orders);
    assertTrue(fleet.sent("release") <= 6 * 12, "sent " + fleet.network.sent);
  }

  private static void failFirstAsker(Consumer<SimulatedHolders.Node> fault) {
    for (long afterMs : List.of(1L, 6L, 12L, 30L)) {
      failFirstAsker(fault, afterMs);
    }
  }

  private static void failFirstAsker(Consumer<SimulatedHolders.Node> fault, long afterMs) {
    for (long seed = 1; seed <= 8; seed++) {
      SimulatedHolders fleet = twelve(seed);
      String first = firstAsker(seed);
      boolean[] failed = new boolean[1];
      fleet.onReleaseRequest =
          vm -> {
            if (!failed[0] && vm.equals(first)) {
              failed[0] = true;
              fleet.clock.schedule(afterMs, () -> fault.accept(fleet.node(first)));
            }
          };

      final long tookMs = fleet.runUntilOrdered(LIMIT_MS);

      assertTrue(failed[0]);
      long ordersOfFailed = fleet.orders.stream().filter(first::equals).count();
      assertEquals(0, ordersOfFailed, "seed " + seed);
      assertTrue(tookMs <= DEAD_LEASE_HOLDER_LIMIT_MS, "seed " + seed + " took " + tookMs);
      assertTrue(fleet.askers.size() <= 3, "seed " + seed + " " + fleet.askers);
      assertTrue(fleet.allSent() <= 6 * 12, "seed " + seed + " sent " + fleet.network.sent);
    }
  }

  @Test
  void shouldBeSucceededWhenTheFirstDiesAfterItsRelease() {
    failFirstAsker(node -> node.isDead = true);
  }

  @Test
  void shouldBeSucceededWhenTheFirstIsCutOffAfterItsRelease() {
    failFirstAsker(node -> node.isCutOff = true);
  }

  @Test
  void shouldBeSucceededWhenTheFirstDoesNotReachTheStore() {
    failFirstAsker(node -> node.isWithoutStore = true);
  }

  /** A VM that wakes up late must not order a second promotion. */
  @Test
  void shouldBeSucceededWhenTheFirstFreezesAfterItsRelease() {
    failFirstAsker(node -> node.freezeForMs(3_500));
  }

  /** Guards against a wait for a first candidate that never asks: it died after it had voted. */
  @Test
  void shouldBeSucceededSoonWhenTheFirstDiesBeforeItAsks() {
    for (long seed = 1; seed <= 8; seed++) {
      String first = firstAsker(seed);
      SimulatedHolders fleet = twelve(seed);
      fleet.onReleaseRequest =
          vm -> {
            if (vm.equals(first)) {
              fleet.node(first).isCutOff = true;
              fleet.node(first).isDead = true;
            }
          };

      final long tookMs = fleet.runUntilOrdered(LIMIT_MS);

      assertTrue(tookMs <= 1_600, "seed " + seed + " took " + tookMs);
      assertFalse(fleet.orders.contains(first));
    }
  }

  /** The failure domain of the primary loses power with it. */
  @Test
  void shouldReplaceThePrimaryWhenItsFailureDomainDies() {
    for (long seed = 1; seed <= 8; seed++) {
      SimulatedHolders fleet = twelve(seed);
      fleet.nodes.forEach((vm, node) -> node.isDead = vm.startsWith("vm-1-"));

      final long tookMs = fleet.runUntilOrdered(LIMIT_MS);

      assertTrue(tookMs <= 1_200, "seed " + seed + " took " + tookMs);
      assertEquals(1, fleet.askers.size(), "seed " + seed + " " + fleet.askers);
      assertTrue(fleet.allSent() <= 3 * 12, "seed " + seed + " sent " + fleet.network.sent);
    }
  }

  /**
   * Guards against a needless promotion, which loses commits: half of the holders reach the
   * primary, but not the store, so that their votes are missing. The voters of two domains release
   * it.
   */
  @Test
  void shouldOrderNothingWhenAsManyHoldersReachThePrimaryAsHaveReleasedIt() {
    for (long seed = 1; seed <= 8; seed++) {
      SimulatedHolders fleet = new SimulatedHolders(3, 4, seed);
      List<String> lost = List.of("vm-1-1", "vm-1-2", "vm-1-3", "vm-2-1", "vm-2-2", "vm-2-3");
      fleet.nodes.forEach((vm, node) -> node.isWithoutStore = !lost.contains(vm));
      fleet.runUntil(() -> false, 1_000);
      fleet.losePrimaryAt(lost);

      fleet.runUntilOrdered(LIMIT_MS);

      assertTrue(fleet.orders.isEmpty(), "seed " + seed);
      assertTrue(fleet.sent("resume") > 0, "seed " + seed);
    }
  }

  /** The times that six holders took before replacements were made in turns. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void shouldNotTakeLongerThanBeforeWhenThereAreSixHolders(long seed) {
    SimulatedHolders fleet = new SimulatedHolders(3, 2, seed);
    fleet.runUntil(() -> false, 1_000);
    fleet.crashPrimary();

    final long tookMs = fleet.runUntilOrdered(LIMIT_MS);

    assertTrue(tookMs <= 170, "took " + tookMs);
  }

  /** Six holders of which each needs 60 ms for a message found no quorum in 20 s either. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void shouldTakeTurnsWhenSixHoldersHaveFailedTwice(long seed) {
    SimulatedHolders fleet = new SimulatedHolders(3, 2, seed);
    fleet.serviceMs = 60;
    fleet.runUntil(() -> false, 1_000);
    fleet.crashPrimary();

    final long tookMs = fleet.runUntilOrdered(LIMIT_MS);

    assertTrue(tookMs <= 3_000, "took " + tookMs);
  }

  /** VMs that read no votes ask each other: not all of them at once. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void shouldAskForVotesInTurnsWhenNoneAreReadFromTheStore(long seed) {
    SimulatedHolders fleet = new SimulatedHolders(3, 4, seed);
    fleet.store.votesNotRead = true;
    fleet.runUntil(() -> false, 1_000);
    fleet.crashPrimary();

    final long tookMs = fleet.runUntilOrdered(LIMIT_MS);

    assertTrue(tookMs <= 1_000, "took " + tookMs);
    assertTrue(fleet.allSent() <= 6 * 12, "sent " + fleet.network.sent);
  }
}
