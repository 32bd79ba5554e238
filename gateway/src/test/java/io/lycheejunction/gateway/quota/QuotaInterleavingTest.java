package io.lycheejunction.gateway.quota;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.gateway.organisation.Quota;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards against too many operations in any order of failures of VMs, links and slots. */
class QuotaInterleavingTest {
  private static final Quota QUOTA = new Quota(30, 40);

  @Property(seed = "38", tries = 60)
  void shouldStayWithinTheAllowanceWhenFailuresHappenInAnyOrder(
      @ForAll @Size(min = 5, max = 25) List<@IntRange(min = 0, max = 69) Integer> steps,
      @ForAll @IntRange(min = 1, max = 500) int delayMs,
      @ForAll @IntRange(min = 0, max = 30) int lostPercent) {
    Random random = new Random(steps.hashCode());
    QuotaFleet fleet =
        new QuotaFleet(6, QUOTA, delayMs).withNetwork(delayMs, lostPercent / 100.0, 0.2);
    Map<QuotaFleet.Vm, Long> takenMs = new HashMap<>();
    for (int step : steps) {
      apply(fleet, fleet.vms.get(step / 10 % 6), step % 10, takenMs);
      double[] weights = random.doubles(6).map(weight -> weight * weight * weight).toArray();
      fleet.run(200 + random.nextInt(1_500), 300, weights);
    }
    int worst = fleet.worstWindow(0);
    assertTrue(worst <= QuotaFleet.ALLOWANCE.maxInWindow(QUOTA), "operations " + worst);
  }

  private static void apply(
      QuotaFleet fleet, QuotaFleet.Vm vm, int action, Map<QuotaFleet.Vm, Long> takenMs) {
    long nowMs = fleet.scheduler.nowMs();
    boolean mayTakeSlot =
        nowMs - takenMs.getOrDefault(vm, nowMs) >= QuotaFleet.ALLOWANCE.windowMs();
    switch (action) {
      case 0 -> vm.dead = true;
      case 1 -> vm.freeze();
      case 2, 3 -> vm.thaw();
      case 4 -> vm.cutOffFrom.addAll(fleet.vms.stream().map(other -> other.name).toList());
      case 5 -> vm.cutOffFrom.clear();
      case 6 -> vm.heldSinceMs = OptionalLong.empty();
      case 7 -> vm.quotas.onClockGap(nowMs);
      default -> {
        if (mayTakeSlot || !takenMs.containsKey(vm)) {
          takenMs.put(vm, nowMs);
          vm.thaw();
          vm.start();
        }
      }
    }
  }
}
