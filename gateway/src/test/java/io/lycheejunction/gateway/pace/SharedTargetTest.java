package io.lycheejunction.gateway.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.gateway.schedule.ManualScheduler;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import java.util.function.ToIntFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Load: holders share a target with 4 slots, which was flooded and refused a third of arrivals. */
class SharedTargetTest {
  private static final long SERVICE_MS = 40;
  private static final double CAPACITY_PER_S = 1_000.0 * SimulatedTarget.SLOTS / SERVICE_MS;
  private static final long RUN_MS = 20_000;

  /** One target and its holders on a clock of their own. */
  private static final class World {
    private final ManualScheduler scheduler = new ManualScheduler();
    private final SplittableRandom random = new SplittableRandom(1);
    private final SimulatedTarget target;
    private final List<SimulatedHolder> holders;
    private DoubleUnaryOperator slowness = running -> 1;

    private World(PaceMode mode, int count) {
      target = new SimulatedTarget(scheduler, this::serviceMs);
      holders =
          IntStream.range(0, count)
              .mapToObj(i -> new SimulatedHolder(scheduler, target, mode, count, i))
              .toList();
    }

    private long serviceMs() {
      double factor = slowness.applyAsDouble(target.running());
      return Math.round(SERVICE_MS * factor * (0.5 + random.nextDouble()));
    }

    private void run(double load, long durationMs) {
      long untilMs = scheduler.nowMs() + durationMs;
      holders.forEach(holder -> holder.load(load * CAPACITY_PER_S / holders.size(), untilMs));
      scheduler.advanceMs(durationMs);
    }

    private int sum(ToIntFunction<SimulatedHolder> count) {
      return holders.stream().mapToInt(count).sum();
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {6, 12})
  void shouldRefuseFarLessAndKeepSlotsBusyWhenLoadExceedsCapacity(int count) {
    World unlimited = new World(PaceMode.OFF, count);
    unlimited.run(1.6, RUN_MS);
    World limited = new World(PaceMode.OBSERVED, count);
    limited.run(1.6, RUN_MS);

    assertTrue(unlimited.target.refusedShare() > 0.3, "without a limit");
    assertTrue(
        limited.target.refusedShare() < unlimited.target.refusedShare() / 6,
        () -> "refused share " + limited.target.refusedShare());
    assertTrue(limited.target.busyShare(RUN_MS) > 0.95, "slots are idle");
    assertTrue(limited.sum(h -> h.expired) < limited.sum(h -> h.arrived) / 50, "held too long");
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 6, 12})
  void shouldMakeNoStatementWaitWhenTargetIsHealthyAndLoadIsUsual(int count) {
    World world = new World(PaceMode.OBSERVED, count);
    world.run(0.3, 3_000);
    int before = world.sum(h -> h.withoutRoom);
    world.run(0.3, RUN_MS);

    assertEquals(0, world.sum(h -> h.withoutRoom) - before);
    assertEquals(0, world.sum(h -> h.tooLong));
  }

  @Test
  void shouldRefuseFarLessAndServeNearlyAsManyWhenColdTargetSlowsUnderLoad() {
    World unlimited = new World(PaceMode.OFF, 6);
    World limited = new World(PaceMode.OBSERVED, 6);
    for (World world : List.of(unlimited, limited)) {
      world.slowness = running -> world.target.completed < 200 ? 1 + running : 1;
      world.run(1.2, RUN_MS);
    }

    assertTrue(limited.target.refusedShare() < unlimited.target.refusedShare() / 3);
    assertTrue(limited.sum(h -> h.served) >= unlimited.sum(h -> h.served) * 0.97);
  }

  /** The statements of an organisation go to one holder, which then has most of a target's load. */
  @Test
  void shouldServeNoLessWhenOneHolderHasMostOfTheLoad() {
    World unlimited = new World(PaceMode.OFF, 6);
    World limited = new World(PaceMode.OBSERVED, 6);
    for (World world : List.of(unlimited, limited)) {
      long untilMs = world.scheduler.nowMs() + RUN_MS;
      world.holders.getFirst().load(0.8 * CAPACITY_PER_S, untilMs);
      world.run(0.1, RUN_MS);
    }

    assertTrue(limited.sum(h -> h.served) >= unlimited.sum(h -> h.served));
    assertTrue(limited.target.refusedShare() < 0.01);
  }

  @Test
  void shouldKeepSlotsBusyWhenTargetLosesHalfItsSpeed() {
    World world = new World(PaceMode.OBSERVED, 6);
    world.run(0.7, 5_000);
    final int refusedBefore = world.target.refused;
    final int arrivalsBefore = world.target.arrivals;
    final double busyBefore = world.target.busyShare(1);
    world.slowness = running -> 2;
    world.run(0.7, RUN_MS);

    double refused =
        (double) (world.target.refused - refusedBefore) / (world.target.arrivals - arrivalsBefore);
    assertTrue(refused < 0.1, () -> "refused share " + refused);
    assertTrue((world.target.busyShare(1) - busyBefore) / RUN_MS > 0.9, "slots are idle");
  }

  @Test
  void shouldNotGrowButSendAgainWhenAnswersDoNotCome() {
    World world = new World(PaceMode.OBSERVED, 1);
    SimulatedHolder holder = world.holders.getFirst();
    holder.arrive();
    world.scheduler.advanceMs(20);
    world.target.setSilent(true);
    world.scheduler.advanceMs(3 * SimulatedHolder.TIMEOUT_MS);
    final int arrivals = world.target.arrivals;
    holder.arrive();
    holder.arrive();
    assertEquals(1, holder.pace.limit());
    world.target.setSilent(false);
    world.scheduler.advanceMs(300);

    assertTrue(world.target.arrivals > arrivals);
    assertEquals(2, holder.served);
  }
}
