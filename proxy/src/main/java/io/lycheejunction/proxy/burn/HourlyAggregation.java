package io.lycheejunction.proxy.burn;

import io.lycheejunction.common.burn.BurnStore;
import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.burn.HourAggregatorSelection;
import io.lycheejunction.core.burn.HourCounts;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Result;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

/** Aggregates the counts of each finished hour, so that the report reads one object per hour. */
public final class HourlyAggregation {
  /** The time between two checks whether an hour has finished, in milliseconds. */
  public static final long INTERVAL_MS = 60_000;

  private static final EventLog LOG = EventLog.of(HourlyAggregation.class);
  private static final long HOUR_MS = 3_600_000;
  private static final long LATE_COUNTS_DELAY_MS = 300_000;
  private static final int REPEATED_HOURS = 3;

  private final String vm;
  private final Supplier<List<Vm>> live;
  private final BurnStore store;
  private final RuntimeClock clock;
  private long lastRunHour;

  /**
   * Creates the aggregation.
   *
   * @param vm the name of this proxy's VM
   * @param live supplies the live proxies
   * @param store stores the counts and the aggregates
   * @param clock the runtime clock
   */
  public HourlyAggregation(
      String vm, Supplier<List<Vm>> live, BurnStore store, RuntimeClock clock) {
    this.vm = Objects.requireNonNull(vm, "vm is null");
    this.live = Objects.requireNonNull(live, "live is null");
    this.store = Objects.requireNonNull(store, "store is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
  }

  /**
   * Aggregates the last finished hours once an hour, if this proxy is the one chosen for it;
   * earlier hours are aggregated again to include counts that were saved late.
   */
  public void runIfDue() {
    long hour = (clock.wallMs() - LATE_COUNTS_DELAY_MS) / HOUR_MS;
    if (hour == lastRunHour
        || !HourAggregatorSelection.of(hour, live.get()).equals(Optional.of(vm))) {
      return;
    }
    for (long past = hour - REPEATED_HOURS; past < hour; past++) {
      if (aggregate(past) instanceof Result.Failure<String> failure) {
        LOG.warn("burn_rollup_failed", "hour", past, "cause", failure.fault().detail());
        return;
      }
    }
    lastRunHour = hour;
  }

  private Result<String> aggregate(long hour) {
    Result<HourCounts> sum = store.sumWriterCounts(hour);
    return sum.flatMap(
        found -> found.minutes().isEmpty() ? Result.success("none") : store.putHourCounts(found));
  }
}
