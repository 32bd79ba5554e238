package io.lycheejunction.gateway.quota;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.gateway.schedule.Scheduler;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;

/** Logs refusals in one line per second at most. */
final class RefusalLog {
  private static final EventLog LOG = EventLog.of(RefusalLog.class);
  private static final long INTERVAL_MS = 1_000;

  private final Scheduler scheduler;
  private final BooleanSupplier holdsSlot;
  private final Map<String, Integer> refusals = new HashMap<>();

  RefusalLog(Scheduler scheduler, BooleanSupplier holdsSlot) {
    this.scheduler = scheduler;
    this.holdsSlot = holdsSlot;
  }

  void record(String organisation) {
    if (refusals.isEmpty()) {
      scheduler.schedule(INTERVAL_MS, this::write);
    }
    refusals.merge(organisation, 1, Integer::sum);
  }

  private void write() {
    Map.Entry<String, Integer> most =
        refusals.entrySet().stream()
            .max(Comparator.comparingInt(Map.Entry::getValue))
            .orElseThrow();
    LOG.info(
        "quota_refused",
        "operations",
        refusals.values().stream().mapToInt(Integer::intValue).sum(),
        "organisations",
        refusals.size(),
        "most_refused",
        most.getKey(),
        "most_operations",
        most.getValue(),
        "holds_slot",
        holdsSlot.getAsBoolean());
    refusals.clear();
  }
}
