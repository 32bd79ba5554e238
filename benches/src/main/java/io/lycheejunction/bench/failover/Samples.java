package io.lycheejunction.bench.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** The results of all rounds of one variant. */
final class Samples {
  private final List<RoundResult> results = new ArrayList<>();

  void add(RoundResult result) {
    results.add(result);
  }

  List<Long> gapsMs() {
    return results.stream().flatMap(result -> result.gapMs().stream()).sorted().toList();
  }

  /** Returns the nearest-rank percentile of sorted values, or -1 if there are none. */
  static long percentileMs(List<Long> sortedMs, int percent) {
    if (sortedMs.isEmpty()) {
      return -1;
    }
    int rank = (sortedMs.size() * percent + 99) / 100;
    return sortedMs.get(Math.max(0, rank - 1));
  }

  long withoutResumption() {
    return results.stream().filter(result -> result.gapMs().isEmpty()).count();
  }

  long falsePromotions() {
    return results.stream().mapToLong(RoundResult::falsePromotions).sum();
  }

  long lost() {
    return results.stream().mapToLong(RoundResult::lost).sum();
  }

  long doubled() {
    return results.stream().mapToLong(RoundResult::doubled).sum();
  }

  long acknowledged() {
    return results.stream().mapToLong(RoundResult::acknowledged).sum();
  }

  long highestTerm() {
    return results.stream().mapToLong(RoundResult::lastTerm).max().orElse(0);
  }

  /** Returns the median over the rounds of each baseline value; needs at least one round. */
  RoundResult.Before before() {
    return new RoundResult.Before(
        median(results.stream().map(r -> r.before().p50Ms()).sorted().toList()),
        median(results.stream().map(r -> r.before().p99Ms()).sorted().toList()),
        median(results.stream().map(r -> r.before().perSecond()).sorted().toList()));
  }

  private static <T> T median(List<T> sorted) {
    return sorted.get(sorted.size() / 2);
  }

  String line() {
    List<Long> sortedMs = gapsMs();
    String gapsOfRounds =
        results.stream()
            .map(result -> result.gapMs().map(String::valueOf).orElse("none"))
            .collect(Collectors.joining(","));
    return ("rounds=%d gaps_ms=%s gap_p50_ms=%d gap_p99_ms=%d gap_max_ms=%d no_resumption=%d"
            + " false_promotions=%d highest_term=%d orders_acked=%d orders_lost=%d"
            + " orders_doubled=%d")
        .formatted(
            results.size(),
            gapsOfRounds,
            percentileMs(sortedMs, 50),
            percentileMs(sortedMs, 99),
            percentileMs(sortedMs, 100),
            withoutResumption(),
            falsePromotions(),
            highestTerm(),
            acknowledged(),
            lost(),
            doubled());
  }
}
