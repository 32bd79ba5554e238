package io.lycheejunction.burn;

import io.lycheejunction.common.burn.BurnStore;
import io.lycheejunction.core.burn.History;
import io.lycheejunction.core.burn.HourSum;
import io.lycheejunction.core.burn.ServiceBurn;
import io.lycheejunction.core.result.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/** Reads the counts of the last 30 days: roll-ups where they exist, else the processes' rows. */
final class HistoryReader {
  private static final int MINUTES_AN_HOUR = 60;
  private static final int RAW_HOURS = 72;

  private final BurnStore store;

  HistoryReader(BurnStore store) {
    this.store = Objects.requireNonNull(store, "store is null");
  }

  /**
   * What could be read.
   *
   * @param history the counts
   * @param unreadHours the number of hours whose objects exist but could not be read
   */
  record Read(History history, int unreadHours) {}

  /** Returns the counts up to now, or the fault if not even the names could be read. */
  Result<Read> read(long nowMinute) {
    return store.rollupHours().map(rolledUp -> read(nowMinute / MINUTES_AN_HOUR, rolledUp));
  }

  private Read read(long nowHour, Set<Long> rolledUp) {
    List<HourSum> sums = new ArrayList<>();
    int unreadHours = 0;
    long fromHour = nowHour - ServiceBurn.BUDGET_MINUTES / MINUTES_AN_HOUR;
    for (long hour = fromHour; hour <= nowHour; hour++) {
      if (!rolledUp.contains(hour) && hour < nowHour - RAW_HOURS) {
        continue;
      }
      Result<Optional<HourSum>> sum =
          rolledUp.contains(hour) ? store.rollup(hour) : store.sum(hour).map(Optional::of);
      unreadHours += sum.isEmpty() ? 1 : 0;
      sum.getOrElse(Optional.empty()).ifPresent(sums::add);
    }
    return new Read(History.of(sums), unreadHours);
  }
}
