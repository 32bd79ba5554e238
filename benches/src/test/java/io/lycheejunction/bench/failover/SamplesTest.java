package io.lycheejunction.bench.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.bench.load.Order;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SamplesTest {
  private static RoundResult roundResult(Optional<Long> gapMs, long promotions, long lost) {
    return new RoundResult(
        gapMs, promotions, 1 + promotions, 10, lost, 0, new RoundResult.Before(1, 2, 3));
  }

  @Nested
  class PercentileMs {
    @Test
    void shouldReturnNearestRankWhenThereAreManyValues() {
      List<Long> sortedMs = LongStream.rangeClosed(1, 200).boxed().toList();
      assertEquals(100, Samples.percentileMs(sortedMs, 50));
      assertEquals(198, Samples.percentileMs(sortedMs, 99));
      assertEquals(200, Samples.percentileMs(sortedMs, 100));
    }

    @Test
    void shouldReturnLargestOrMinusOneWhenThereAreFewOrNoValues() {
      assertEquals(7, Samples.percentileMs(List.of(3L, 7L), 99));
      assertEquals(-1, Samples.percentileMs(List.of(), 99));
    }
  }

  @Nested
  class Line {
    @Test
    void shouldPrintTotalsWhenThereAreSeveralRounds() {
      Samples samples = new Samples();
      samples.add(roundResult(Optional.of(400L), 1, 0));
      samples.add(roundResult(Optional.empty(), 3, 2));
      String line = samples.line();
      assertTrue(line.contains("gaps_ms=400,none "), line);
      assertTrue(line.contains("no_resumption=1 false_promotions=2 highest_term=4"), line);
      assertTrue(line.contains("orders_acked=20 orders_lost=2 orders_doubled=0"), line);
    }
  }

  @Nested
  class BeforeOf {
    @Test
    void shouldIgnoreWritesWhenTheyStartBeforeOrEndAfterPeriod() {
      List<Order> orders =
          List.of(order(90, 110), order(100, 130), order(150, 160), order(190, 210));
      assertEquals(new RoundResult.Before(10, 30, 20), RoundResult.Before.of(orders, 100, 200));
    }

    private Order order(long sentMs, long answeredMs) {
      return new Order("s", "id", Order.Fate.ACKNOWLEDGED, "t", sentMs, answeredMs);
    }
  }
}
