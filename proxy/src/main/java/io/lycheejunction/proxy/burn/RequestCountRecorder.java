package io.lycheejunction.proxy.burn;

import io.lycheejunction.common.burn.BurnStore;
import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.burn.CountHistory;
import io.lycheejunction.core.burn.HourCounts;
import io.lycheejunction.core.burn.RequestCounts;
import io.lycheejunction.core.burn.WriterHourCounts;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.proxy.supervisor.Drainable;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

/**
 * Records the counts of callers' requests by minute, from the meters, and saves them in the object
 * store.
 */
public final class RequestCountRecorder implements Drainable {
  /** The time between two recordings, in milliseconds. */
  public static final long INTERVAL_MS = 60_000;

  /** The largest number of hours that are retained while the store cannot be written. */
  public static final int MAX_HOURS = 24;

  private static final EventLog LOG = EventLog.of(RequestCountRecorder.class);
  private static final int MINUTES_PER_HOUR = 60;
  private static final int MAX_DRAIN_ATTEMPTS = 3;
  private static final int MIN_RETAINED_HOURS = 2;

  private final MeterCounts meters;
  private final BurnStore store;
  private final RuntimeClock clock;
  private final String writer;
  private final NavigableMap<Long, WriterHourCounts> hours = new TreeMap<>();
  private final Set<Long> unsaved = new HashSet<>();
  private long lastRecordedMs;
  private long droppedMinutes;
  private int drainAttempts;

  /**
   * Creates a recorder without counts.
   *
   * @param vm the name of this proxy's VM
   * @param registry the registry with the timers of callers' requests
   * @param store saves the counts
   * @param clock the runtime clock
   */
  public RequestCountRecorder(
      String vm, MeterRegistry registry, BurnStore store, RuntimeClock clock) {
    this.meters = new MeterCounts(registry);
    this.store = Objects.requireNonNull(store, "store is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.lastRecordedMs = clock.wallMs();
    this.writer = Objects.requireNonNull(vm, "vm is null") + "/" + lastRecordedMs;
  }

  /**
   * Adds the counts since the last recording to the minute of that recording, and saves the unsaved
   * hours. If the recordings skip exactly one minute, that minute gets a row without requests, so
   * that it does not count as missing.
   */
  public synchronized void recordCounts() {
    long minute = lastRecordedMs / INTERVAL_MS;
    lastRecordedMs = clock.wallMs();
    add(minute, meters.countsSinceLastCall());
    if (lastRecordedMs / INTERVAL_MS == minute + 2) {
      add(minute + 1, Map.of());
    }
    save();
    trim();
  }

  private void add(long minute, Map<String, RequestCounts> counts) {
    long hour = minute / MINUTES_PER_HOUR;
    WriterHourCounts rows = hours.getOrDefault(hour, new WriterHourCounts(writer, hour, Map.of()));
    hours.put(hour, rows.plus((int) (minute % MINUTES_PER_HOUR), counts));
    unsaved.add(hour);
  }

  private void save() {
    for (WriterHourCounts rows : hours.values()) {
      if (!unsaved.contains(rows.hour())) {
        continue;
      }
      if (store.putWriterCounts(rows) instanceof Result.Failure<String> failure) {
        LOG.warn("burn_not_saved", "hours", unsaved.size(), "cause", failure.fault().detail());
        return;
      }
      unsaved.remove(rows.hour());
    }
  }

  private void trim() {
    while (hours.size() > MIN_RETAINED_HOURS && !unsaved.contains(hours.firstKey())) {
      hours.pollFirstEntry();
    }
    while (hours.size() > MAX_HOURS) {
      WriterHourCounts dropped = hours.pollFirstEntry().getValue();
      unsaved.remove(dropped.hour());
      droppedMinutes += dropped.minutes().size();
      LOG.warn("burn_dropped", "hour", dropped.hour(), "minutes", dropped.minutes().size());
    }
  }

  /**
   * Returns how many recorded minutes were dropped because the store could not be written for more
   * than {@link #MAX_HOURS} hours.
   *
   * @return the number of minutes since the start
   */
  public synchronized long droppedMinutes() {
    return droppedMinutes;
  }

  /**
   * Returns this proxy's own counts of the retained hours.
   *
   * @return the history
   */
  synchronized CountHistory history() {
    List<HourCounts> sums =
        hours.values().stream().map(rows -> HourCounts.of(rows.hour(), List.of(rows))).toList();
    return CountHistory.of(sums);
  }

  @Override
  public void drain() {
    recordCounts();
  }

  @Override
  public synchronized boolean awaitIdle(long timeoutMs) {
    while (!unsaved.isEmpty() && drainAttempts < MAX_DRAIN_ATTEMPTS) {
      drainAttempts++;
      save();
    }
    return unsaved.isEmpty() || drainAttempts >= MAX_DRAIN_ATTEMPTS;
  }

  @Override
  public synchronized String waitingFor() {
    return unsaved.isEmpty() ? "" : "counts of " + unsaved.size() + " hours to be saved";
  }
}
