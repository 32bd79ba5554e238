package io.lycheejunction.proxy.burn;

import io.lycheejunction.common.burn.BurnStore;
import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.burn.HourSum;
import io.lycheejunction.core.burn.RollupChoice;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Result;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

/** Sums up finished hours, so that the report reads one object for each. */
public final class Rollup {
  /** The time between two looks at the hour, in milliseconds. */
  public static final long INTERVAL_MS = 60_000;

  private static final EventLog LOG = EventLog.of(Rollup.class);
  private static final long HOUR_MS = 3_600_000;
  private static final long SETTLE_MS = 300_000;
  private static final int REPEATED_HOURS = 3;

  private final String vm;
  private final Supplier<List<Vm>> live;
  private final BurnStore store;
  private final RuntimeClock clock;
  private long finishedHour;

  /**
   * Creates the roll-up.
   *
   * @param vm the name of this proxy's VM
   * @param live gives the live proxies
   * @param store keeps the counts
   * @param clock the runtime clock
   */
  public Rollup(String vm, Supplier<List<Vm>> live, BurnStore store, RuntimeClock clock) {
    this.vm = Objects.requireNonNull(vm, "vm is null");
    this.live = Objects.requireNonNull(live, "live is null");
    this.store = Objects.requireNonNull(store, "store is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
  }

  /** Sums up the last finished hours once in an hour, if this proxy is the chosen one. */
  public void tick() {
    long hour = (clock.wallMs() - SETTLE_MS) / HOUR_MS;
    if (hour == finishedHour || !RollupChoice.of(hour, live.get()).equals(Optional.of(vm))) {
      return;
    }
    for (long past = hour - REPEATED_HOURS; past < hour; past++) {
      if (rollUp(past) instanceof Result.Failure<String> failure) {
        LOG.warn("burn_rollup_failed", "hour", past, "cause", failure.fault().detail());
        return;
      }
    }
    finishedHour = hour;
  }

  private Result<String> rollUp(long hour) {
    Result<HourSum> sum = store.sum(hour);
    return sum.flatMap(
        found -> found.minutes().isEmpty() ? Result.success("none") : store.putRollup(found));
  }
}
