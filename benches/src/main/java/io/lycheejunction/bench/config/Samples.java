package io.lycheejunction.bench.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;

/** The measured times of the rounds of one variant, in milliseconds. */
final class Samples {
  private final List<Long> valuesMs = new ArrayList<>();
  private int timedOut;

  /** Adds the time of a round, or counts the round as timed out if there is none. */
  void add(OptionalLong valueMs) {
    if (valueMs.isEmpty()) {
      timedOut++;
    }
    valueMs.ifPresent(valuesMs::add);
  }

  /** Returns the number of rounds that timed out. */
  int timedOut() {
    return timedOut;
  }

  /** Returns the longest time, or -1 if there is none. */
  long maxMs() {
    return valuesMs.isEmpty() ? -1 : Collections.max(valuesMs);
  }

  /** Returns the median, the upper one of an even number of times, or -1 if there is none. */
  long medianMs() {
    List<Long> sorted = valuesMs.stream().sorted().toList();
    return sorted.isEmpty() ? -1 : sorted.get(sorted.size() / 2);
  }

  /** Returns the summary as key=value pairs for a line of output. */
  String describe() {
    long minMs = valuesMs.isEmpty() ? -1 : Collections.min(valuesMs);
    return "rounds=%d missed=%d min_ms=%d median_ms=%d max_ms=%d"
        .formatted(valuesMs.size() + timedOut, timedOut, minMs, medianMs(), maxMs());
  }
}
