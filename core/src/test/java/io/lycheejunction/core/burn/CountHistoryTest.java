package io.lycheejunction.core.burn;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CountHistoryTest {
  private static final String SERVICE = "orders";
  private static final long END_MINUTE = 6_000;

  private static WriterHourCounts rows(
      String writer, long hour, int fromMinute, int toMinute, RequestCounts perMinute) {
    WriterHourCounts rows = new WriterHourCounts(writer, hour, Map.of());
    for (int minute = fromMinute; minute < toMinute; minute++) {
      rows = rows.plus(minute, Map.of(SERVICE, perMinute));
    }
    return rows;
  }

  private static CountHistory historyOf(WriterHourCounts... rows) {
    return CountHistory.of(List.of(HourCounts.of(99, List.of(rows))));
  }

  @Property(seed = "20261204", tries = 200)
  void shouldReturnSameSumWhenCountsAreReorderedOrDuplicated(
      @ForAll @IntRange(min = 1, max = 8) int writers, @ForAll long seed) {
    Random random = new Random(seed);
    List<WriterHourCounts> all = new ArrayList<>();
    for (int i = 0; i < writers; i++) {
      all.add(rows("vm" + i, 99, i, 60, RequestCounts.ofDone(random.nextInt(50), 1, true)));
    }
    HourCounts expected = HourCounts.of(99, all);
    List<WriterHourCounts> duplicated = new ArrayList<>(all);
    duplicated.addAll(all);
    Collections.shuffle(duplicated, random);
    assertEquals(expected, HourCounts.of(99, duplicated));
    assertEquals(writers, expected.minutes().get(59).writers());
  }

  @Nested
  class BurnRate {
    @Test
    void shouldBeOneWhenMissesEqualAllowedShare() {
      RequestCounts minute =
          RequestCounts.ofDone(9_995, 9_995, false).plus(RequestCounts.ofRefused(1301, 5, false));
      CountHistory history = historyOf(rows("vm", 99, 0, 60, minute));
      Burn burn = history.burn(SERVICE, Objective.AVAILABILITY, END_MINUTE, 60);
      assertEquals(1.0, assertInstanceOf(Burn.Known.class, burn).rate(), 1e-9);
    }

    @Test
    void shouldIgnoreRequestsWhenCallerCausedTheError() {
      RequestCounts minute =
          RequestCounts.ofDone(10, 10, false).plus(RequestCounts.ofRefused(1101, 90, false));
      Burn burn =
          historyOf(rows("vm", 99, 0, 60, minute))
              .burn(SERVICE, Objective.AVAILABILITY, END_MINUTE, 60);
      assertEquals(new Burn.Known(0, 600, 60), burn);
    }

    @Test
    void shouldBeMissingWhenNoMinuteHasCounts() {
      CountHistory history = historyOf(rows("vm", 99, 0, 50, RequestCounts.ofDone(10, 10, true)));
      assertEquals(
          new Burn.Missing(), history.burn(SERVICE, Objective.AVAILABILITY, END_MINUTE, 5));
      assertEquals(10, history.coveredMinutes(END_MINUTE, 20));
    }

    @Test
    void shouldBeIdleWhenMinutesHaveNoRequests() {
      CountHistory history = historyOf(rows("vm", 99, 0, 60, RequestCounts.empty()));
      assertEquals(new Burn.Idle(5), history.burn(SERVICE, Objective.AGE, END_MINUTE, 5));
    }
  }

  @Nested
  class Status {
    private ObjectiveBurn.Status status(int badFromMinute, int lastMinute) {
      RequestCounts good = RequestCounts.ofDone(100, 100, true);
      RequestCounts bad =
          RequestCounts.ofDone(50, 50, true).plus(RequestCounts.ofRefused(1301, 50, false));
      WriterHourCounts rows = new WriterHourCounts("vm", 99, Map.of());
      for (int minute : IntStream.range(0, lastMinute).toArray()) {
        rows = rows.plus(minute, Map.of(SERVICE, minute < badFromMinute ? good : bad));
      }
      return ObjectiveBurn.of(historyOf(rows), SERVICE, Objective.AVAILABILITY, END_MINUTE)
          .status();
    }

    @Test
    void shouldBeNowWhenBothWindowsExceedThreshold() {
      assertEquals(ObjectiveBurn.Status.NOW, status(50, 60));
    }

    @Test
    void shouldBeFineWhenNoWindowExceedsThreshold() {
      assertEquals(ObjectiveBurn.Status.FINE, status(60, 60));
    }

    @Test
    void shouldBeUnknownWhenLatestMinutesAreMissing() {
      assertEquals(ObjectiveBurn.Status.UNKNOWN, status(60, 55));
    }
  }
}
