package io.lycheejunction.gateway.quota;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.gateway.organisation.Quota;
import java.util.stream.DoubleStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against refusals within the quota, and against too many operations, for any demand. */
class QuotaDemandTest {
  private static final long DURATION_MS = 40_000;

  @ParameterizedTest
  @CsvSource({
    "6, 1.6, 4, 1",
    "6, 14, 20, 2",
    "6, 100, 100, 3",
    "12, 1.6, 4, 4",
    "12, 14, 20, 5",
    "12, 100, 100, 6",
    "6, 500, 800, 7",
    "12, 0.5, 1, 8"
  })
  void shouldRunAllThatIsAllowedWhenDemandIsEvenUnevenOrMoves(
      int holders, double rate, double burst, long seed) {
    Quota quota = new Quota(rate, burst);
    double[] even = DoubleStream.generate(() -> 1).limit(holders).toArray();
    double[] uneven = DoubleStream.iterate(1, weight -> weight / 3).limit(holders).toArray();
    for (double load : new double[] {0.625, 1.5, 5}) {
      QuotaFleet evenly = startedFleet(holders, quota, seed);
      evenly.run(DURATION_MS, rate * load, even);
      check("even", evenly, quota, load);
      QuotaFleet unevenly = startedFleet(holders, quota, seed);
      unevenly.run(DURATION_MS, rate * load, uneven);
      check("uneven", unevenly, quota, load);
      QuotaFleet moving = startedFleet(holders, quota, seed);
      for (int i = 0; i < DURATION_MS / 4_000; i++) {
        double[] one = new double[holders];
        one[i % holders] = 1;
        moving.run(4_000, rate * load, one);
      }
      check("moving", moving, quota, load);
    }
  }

  /** Returns a fleet whose holders have begun to give tokens to each other. */
  private static QuotaFleet startedFleet(int holders, Quota quota, long seed) {
    QuotaFleet fleet = new QuotaFleet(holders, quota, seed);
    fleet.run(TokenLender.PERIOD_MS, 0, 1);
    return fleet;
  }

  private static void check(String demand, QuotaFleet fleet, Quota quota, double load) {
    int worst = fleet.worstWindow(0);
    String report =
        "demand %s, %.1f times the rate: %d ran of %d, at most %d in a window, %d messages"
            .formatted(
                demand, load, fleet.starts.size(), fleet.ideallyStarted, worst, fleet.messages);
    assertTrue(fleet.starts.size() + 1 >= 0.98 * fleet.ideallyStarted, report);
    assertTrue(worst <= QuotaFleet.ALLOWANCE.maxInWindow(quota), report);
    double messagesPerS = fleet.messages * 1_000.0 / DURATION_MS / fleet.vms.size();
    assertTrue(messagesPerS <= 2 * (fleet.vms.size() - 1) * 1_000.0 / QuotaRefill.INTERVAL_MS);
  }
}
