package io.lycheejunction.proxy.burn;

import io.lycheejunction.core.burn.Objective;
import io.lycheejunction.core.burn.RequestCounts;
import io.lycheejunction.core.result.ResultCode;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.distribution.CountAtBucket;
import io.micrometer.core.instrument.distribution.HistogramSnapshot;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Reads how many requests the timers of callers' requests have counted since the last call. */
final class MeterCounts {
  private static final String REQUESTS = "lycheejunction.requests";

  private final MeterRegistry registry;
  private final Map<Meter.Id, Reading> lastReadings = new HashMap<>();

  MeterCounts(MeterRegistry registry) {
    this.registry = Objects.requireNonNull(registry, "registry is null");
  }

  private record Reading(long count, long fast) {}

  /** Returns the counts since the last call, by service. */
  Map<String, RequestCounts> countsSinceLastCall() {
    Map<String, RequestCounts> counts = new TreeMap<>();
    for (Timer timer : registry.find(REQUESTS).timers()) {
      Reading now = read(timer);
      Reading last = lastReadings.put(timer.getId(), now);
      long count = now.count() - (last == null ? 0 : last.count());
      long fast = now.fast() - (last == null ? 0 : last.fast());
      if (count > 0) {
        counts.merge(tag(timer, "service"), countsOf(timer, count, fast), RequestCounts::plus);
      }
    }
    return counts;
  }

  private static Reading read(Timer timer) {
    HistogramSnapshot snapshot = timer.takeSnapshot();
    long fast = 0;
    for (CountAtBucket bucket : snapshot.histogramCounts()) {
      if (bucket.bucket(TimeUnit.MILLISECONDS) == Objective.LATENCY_MS) {
        fast = (long) bucket.count();
      }
    }
    return new Reading(snapshot.count(), Math.min(fast, snapshot.count()));
  }

  private static RequestCounts countsOf(Timer timer, long count, long fast) {
    int code = Integer.parseInt(tag(timer, "code"));
    boolean isRead = tag(timer, "access").equals("read");
    if (code == ResultCode.DONE.number()) {
      return RequestCounts.ofDone(count, Math.max(0, fast), isRead);
    }
    boolean isStale = isRead && code == ResultCode.AGE_NOT_PROVEN.number();
    return RequestCounts.ofRefused(code, count, isStale);
  }

  private static String tag(Timer timer, String name) {
    return String.valueOf(timer.getId().getTag(name));
  }
}
