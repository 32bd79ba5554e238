package io.lycheejunction.gateway.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.gateway.organisation.Quota;
import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against more operations than allowed when VMs, links, clocks or the store fail. */
class QuotaFaultTest {
  private static final int HOLDERS = 6;
  private static final Quota QUOTA = new Quota(40, 60);
  private static final double LOAD = 200;

  private final QuotaFleet fleet = new QuotaFleet(HOLDERS, QUOTA, 11);

  private void run(long durationMs) {
    fleet.run(durationMs, LOAD, 20, 3, 3, 1, 1, 1);
  }

  private void assertWithinAllowance(long sinceMs, Quota quota) {
    int worst = fleet.worstWindow(sinceMs);
    assertTrue(worst <= QuotaFleet.ALLOWANCE.maxInWindow(quota), "operations " + worst);
  }

  private long startedSince(long sinceMs) {
    return fleet.starts.stream().filter(start -> start >= sinceMs).count();
  }

  @Test
  void shouldStayWithinTheAllowanceWhenMessagesAreLateLostOrDoubled() {
    for (long delayMs : new long[] {4, 60, 390, 900}) {
      QuotaFleet lossy = new QuotaFleet(HOLDERS, QUOTA, delayMs).withNetwork(delayMs, 0.2, 0.3);
      lossy.run(30_000, LOAD, 20, 3, 3, 1, 1, 1);
      assertTrue(lossy.worstWindow(0) <= QuotaFleet.ALLOWANCE.maxInWindow(QUOTA));
    }
  }

  @Test
  void shouldRunNearlyAllWhenFewMessagesAreLost() {
    fleet.withNetwork(10, 0.01, 0.01);
    run(30_000);
    assertTrue(fleet.starts.size() >= 0.98 * fleet.ideallyStarted);
  }

  @Test
  void shouldUseTheOtherPartsWhenTheHolderThatSpendsMostDies() {
    run(10_000);
    fleet.vms.get(0).dead = true;
    run(2_000);
    long sinceMs = fleet.scheduler.nowMs();
    run(10_000);

    assertWithinAllowance(0, QUOTA);
    double left = QUOTA.ratePerS() * 10 * (HOLDERS - 1) / HOLDERS;
    assertTrue(startedSince(sinceMs) >= 0.98 * left, "operations " + startedSince(sinceMs));
  }

  @Test
  void shouldStayWithinTheAllowanceWhenHoldersStartAgainWithoutTheirMemory() {
    fleet.run(10_000, 0, 1);
    run(1_000);
    fleet.vms.forEach(QuotaFleet.Vm::start);
    run(10_000);
    fleet.vms.get(0).start();
    run(10_000);

    assertWithinAllowance(0, QUOTA);
  }

  @Test
  void shouldStayWithinTheAllowanceWhenOneHolderFreezesAndGoesOn() {
    run(10_000);
    fleet.vms.get(0).freeze();
    run(7_000);
    fleet.vms.get(0).thaw();
    run(10_000);

    assertWithinAllowance(0, QUOTA);
  }

  @Test
  void shouldSpendOnlyTheOwnPartsWhenOneDomainIsCutOff() {
    run(5_000);
    for (int i = 0; i < 2; i++) {
      for (int j = 2; j < HOLDERS; j++) {
        fleet.vms.get(i).cutOffFrom.add(fleet.vms.get(j).name);
      }
    }
    run(2_000);
    long sinceMs = fleet.scheduler.nowMs();
    run(20_000);

    assertWithinAllowance(0, QUOTA);
    assertTrue(startedSince(sinceMs) >= 0.98 * QUOTA.ratePerS() * 20);
  }

  @Test
  void shouldApplyLowerLimitsOneWindowLaterAndHigherOnesAtOnce() {
    run(10_000);
    Quota lower = new Quota(4, 6);
    fleet.change(lower);
    long loweredMs = fleet.scheduler.nowMs();
    run(15_000);
    assertWithinAllowance(loweredMs, lower);

    fleet.change(QUOTA);
    long raisedMs = fleet.scheduler.nowMs();
    run(10_000);
    assertTrue(startedSince(raisedMs) >= 0.98 * QUOTA.ratePerS() * 10);
  }

  /** The VM with the slot in doubt and its successor would otherwise both spend its part. */
  @Test
  void shouldSpendNothingOfItsPartWhenTheSlotIsInDoubt() {
    fleet.run(5_000, 0, 1);
    fleet.vms.forEach(vm -> vm.heldSinceMs = OptionalLong.empty());
    run(5_000);
    assertEquals(0, fleet.starts.size());

    fleet.vms.stream().skip(1).forEach(vm -> vm.heldSinceMs = OptionalLong.of(1));
    long sinceMs = fleet.scheduler.nowMs();
    run(20_000);
    double left = QUOTA.ratePerS() * 20 * (HOLDERS - 1) / HOLDERS;
    assertTrue(startedSince(sinceMs) >= 0.98 * left);
    assertWithinAllowance(0, QUOTA);
  }

  @Test
  void shouldDropAllTokensWhenTheClockMayHaveMissedTime() {
    fleet.run(10_000, 0, 1);
    fleet.vms.forEach(vm -> vm.quotas.onClockGap(fleet.scheduler.nowMs()));

    fleet.vms.get(0).offer();
    fleet.scheduler.advanceMs(1);

    assertEquals(0, fleet.starts.size());
    assertTrue(fleet.vms.get(1).quotas.give(Map.of(QuotaFleet.ORGANISATION, 5.0)).isEmpty());
  }

  /** VMs read the number of slots at different times, so two numbers are in force for a while. */
  @Test
  void shouldStayWithinTheAllowanceWhenTheNumberOfSlotsFalls() {
    run(5_000);
    for (int i = 0; i < HOLDERS; i++) {
      fleet.vms.get(i).quotas.setSlots(3);
      if (i >= 3) {
        fleet.vms.get(i).heldSinceMs = OptionalLong.empty();
      }
      run(800);
    }
    run(10_000);
    assertWithinAllowance(0, QUOTA);
  }

  @Test
  void shouldGiveNoPartToNewSlotsUntilAllKnowThatTheNumberOfSlotsHasRisen() {
    fleet.run(5_000, 0, 1);
    QuotaFleet.Vm joins = fleet.vms.get(0);
    joins.heldSinceMs = OptionalLong.empty();
    joins.quotas.setSlots(2 * HOLDERS);
    joins.heldSinceMs = OptionalLong.of(fleet.scheduler.nowMs());

    assertTrue(joins.quotas.give(Map.of(QuotaFleet.ORGANISATION, 1.0)).isEmpty());
    fleet.run(QuotaFleet.ALLOWANCE.windowMs() + 1, 0, 1);
    joins.quotas.update();
    fleet.run(TokenLender.PERIOD_MS, 0, 1);
    assertEquals(1, joins.quotas.give(Map.of(QuotaFleet.ORGANISATION, 1.0)).size());
  }
}
