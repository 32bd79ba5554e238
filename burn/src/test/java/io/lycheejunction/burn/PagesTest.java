package io.lycheejunction.burn;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.common.burn.BurnStore;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.burn.HourCounts;
import io.lycheejunction.core.burn.RequestCounts;
import io.lycheejunction.core.burn.WriterHourCounts;
import io.lycheejunction.core.port.ObjectStore;
import io.lycheejunction.core.result.Result;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PagesTest {
  private static final long NOW_HOUR = 472_222;
  private static final long NOW_MINUTE = NOW_HOUR * 60 + 40;

  private final Map<String, String> objects = new TreeMap<>();
  private final BurnStore store = new BurnStore(new InMemoryObjectStore(objects));

  private record InMemoryObjectStore(Map<String, String> objects) implements ObjectStore {
    @Override
    public Result<Optional<String>> get(String name) {
      return Result.success(Optional.ofNullable(objects.get(name)));
    }

    @Override
    public Result<String> put(String name, String content) {
      objects.put(name, content);
      return Result.success(name);
    }

    @Override
    public Result<List<String>> list(String prefix) {
      return Result.success(objects.keySet().stream().filter(n -> n.startsWith(prefix)).toList());
    }
  }

  private static RequestCounts tallyOfMinute(long misses, long epochMinute) {
    RequestCounts done =
        RequestCounts.ofDone(3_000 + epochMinute % 7 * 100, 2_985 + epochMinute % 7 * 100, true);
    return misses == 0 ? done : done.plus(RequestCounts.ofRefused(1301, misses, false));
  }

  private void fill(long burningMinutes, long endMinute) {
    for (long hour = NOW_HOUR - 100; hour <= NOW_HOUR; hour++) {
      WriterHourCounts rows = new WriterHourCounts("vm-1/1", hour, Map.of());
      for (int i = 0; i < 60; i++) {
        long epochMinute = hour * 60 + i;
        if (epochMinute >= endMinute || (hour == NOW_HOUR - 9 && i < 50)) {
          continue;
        }
        boolean isBurning = epochMinute >= NOW_MINUTE - burningMinutes;
        rows =
            rows.plus(
                i,
                Map.of(
                    "orders", tallyOfMinute(isBurning ? 120 : 0, epochMinute),
                    "stock", tallyOfMinute(epochMinute % 11 == 0 ? 3 : 0, epochMinute),
                    "-", RequestCounts.ofRefused(1102, 2, false)));
      }
      if (hour == NOW_HOUR) {
        store.putWriterCounts(rows);
      } else {
        store.putHourCounts(HourCounts.of(hour, List.of(rows)));
      }
    }
  }

  private Report report(String serviceFilter) {
    return new HistoryReader(store)
        .read(NOW_MINUTE)
        .fold(
            fault -> {
              throw new AssertionError(fault.detail());
            },
            read -> Report.of(read, NOW_MINUTE, serviceFilter));
  }

  @Nested
  class Headline {
    @Test
    void shouldListServiceWhenItNeedsAction() {
      fill(50, NOW_MINUTE);
      assertEquals("Someone is needed now: orders", report("").headline());
    }

    @Test
    void shouldReportThatNobodyIsNeededWhenNoBudgetBurns() {
      fill(0, NOW_MINUTE);
      assertEquals("Nobody is needed", report("").headline());
    }

    @Test
    void shouldReportUnknownWhenThereAreNoCounts() {
      assertTrue(report("").headline().startsWith("Not known"));
    }

    @Test
    void shouldReportUnknownWhenLastMinutesAreMissing() {
      fill(0, NOW_MINUTE - 20);
      assertTrue(report("").headline().startsWith("Not known"));
    }
  }

  @Nested
  class Pages {
    @Test
    void shouldShowMissingMinutesWhenLastMinutesHaveNoCounts() {
      fill(0, NOW_MINUTE - 20);
      assertTrue(TextPage.of(report("")).contains("missing / "));
      assertTrue(report("").gapsLine().contains("69 of 4320"));
    }

    @Test
    void shouldReportOneServiceWhenFiltered() {
      fill(50, NOW_MINUTE);
      String text = TextPage.of(report("stock"));
      assertTrue(text.contains("stock"));
      assertFalse(text.contains("orders"));
    }

    @Test
    void shouldWriteSelfContainedHtmlWhenServicesHaveCounts() throws IOException {
      fill(50, NOW_MINUTE);
      String page = HtmlPage.of(report(""));
      assertTrue(page.contains("Someone is needed now"));
      assertTrue(page.contains("NO_PRIMARY"));
      assertTrue(page.contains("data:image/png;base64,"));
      assertFalse(page.contains("http"));
      Files.writeString(Path.of("target", "burn-example.html"), page);
    }

    @Test
    void shouldWriteSummaryAsJsonWhenServicesHaveCounts() {
      fill(50, NOW_MINUTE);
      assertTrue(Json.write(report("").summary()).contains("\"status\":\"NOW\""));
    }
  }
}
