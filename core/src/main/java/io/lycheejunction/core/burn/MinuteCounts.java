package io.lycheejunction.core.burn;

import java.util.Map;
import java.util.TreeMap;

/**
 * The sum of the request counts of all proxies in one minute.
 *
 * @param writers the number of processes whose counts are included
 * @param services the counts by service
 */
public record MinuteCounts(int writers, Map<String, RequestCounts> services) {

  /** Copies the map. */
  public MinuteCounts {
    services = Map.copyOf(services);
  }

  /**
   * Returns the sum of these and other counts.
   *
   * @param other the other counts
   * @return the sum
   */
  MinuteCounts plus(MinuteCounts other) {
    Map<String, RequestCounts> sum = new TreeMap<>(services);
    other.services.forEach((service, counts) -> sum.merge(service, counts, RequestCounts::plus));
    return new MinuteCounts(writers + other.writers, sum);
  }
}
