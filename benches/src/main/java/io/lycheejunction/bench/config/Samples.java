package io.lycheejunction.bench.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;

/** The times that one variant took, in milliseconds. */
final class Samples {
  private final List<Long> valuesMs = new ArrayList<>();
  private int missed;

  /** Adds a time, or a miss if the limit passed first. */
  void add(OptionalLong valueMs) {
    if (valueMs.isEmpty()) {
      missed++;
    }
    valueMs.ifPresent(valuesMs::add);
  }

  /** Returns the number of rounds that reached the limit. */
  int missed() {
    return missed;
  }

  /** Returns the longest time, or -1 without any. */
  long maxMs() {
    return valuesMs.isEmpty() ? -1 : Collections.max(valuesMs);
  }

  /** Returns the middle time, or -1 without any. */
  long medianMs() {
    List<Long> sorted = valuesMs.stream().sorted().toList();
    return sorted.isEmpty() ? -1 : sorted.get(sorted.size() / 2);
  }

  /** Returns the pairs of a line of output. */
  String describe() {
    long minMs = valuesMs.isEmpty() ? -1 : Collections.min(valuesMs);
    return "rounds=%d missed=%d min_ms=%d median_ms=%d max_ms=%d"
        .formatted(valuesMs.size() + missed, missed, minMs, medianMs(), maxMs());
  }
}
