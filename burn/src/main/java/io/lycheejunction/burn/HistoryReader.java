package io.lycheejunction.burn;

import io.lycheejunction.common.burn.BurnStore;
import io.lycheejunction.core.burn.CountHistory;
import io.lycheejunction.core.burn.HourCounts;
import io.lycheejunction.core.burn.ObjectiveBurn;
import io.lycheejunction.core.result.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Reads the counts of the last 30 days: the stored sum of an hour if there is one, otherwise the
 * counts of each process, for recent hours only.
 */
final class HistoryReader {
  private static final int MINUTES_PER_HOUR = 60;
  private static final int PROCESS_ROWS_MAX_AGE_HOURS = 72;

  private final BurnStore store;

  HistoryReader(BurnStore store) {
    this.store = Objects.requireNonNull(store, "store is null");
  }

  /**
   * The counts and the number of hours that could not be read.
   *
   * @param history the counts that could be read
   * @param unreadHours the number of hours whose objects exist but could not be read
   */
  record LoadedHistory(CountHistory history, int unreadHours) {}

  /** Returns the counts up to now, or the fault if the stored sums cannot be listed. */
  Result<LoadedHistory> read(long nowMinute) {
    return store
        .listAggregatedHours()
        .map(summedHours -> read(nowMinute / MINUTES_PER_HOUR, summedHours));
  }

  private LoadedHistory read(long nowHour, Set<Long> summedHours) {
    List<HourCounts> sums = new ArrayList<>();
    int unreadHours = 0;
    long fromHour = nowHour - ObjectiveBurn.BUDGET_MINUTES / MINUTES_PER_HOUR;
    for (long hour = fromHour; hour <= nowHour; hour++) {
      if (!summedHours.contains(hour) && hour < nowHour - PROCESS_ROWS_MAX_AGE_HOURS) {
        continue;
      }
      Result<Optional<HourCounts>> sum =
          summedHours.contains(hour)
              ? store.getHourCounts(hour)
              : store.sumWriterCounts(hour).map(Optional::of);
      unreadHours += sum.isEmpty() ? 1 : 0;
      sum.getOrElse(Optional.empty()).ifPresent(sums::add);
    }
    return new LoadedHistory(CountHistory.of(sums), unreadHours);
  }
}
