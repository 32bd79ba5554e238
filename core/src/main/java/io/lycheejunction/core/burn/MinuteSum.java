package io.lycheejunction.core.burn;

import java.util.Map;
import java.util.TreeMap;

/**
 * The sum of the request counts of all proxies in one minute.
 *
 * @param writers the number of processes whose counts are included
 * @param services the counts by service
 */
public record MinuteSum(int writers, Map<String, Tally> services) {

  /** Copies the map. */
  public MinuteSum {
    services = Map.copyOf(services);
  }

  /**
   * Returns the sum of these and other counts.
   *
   * @param other the other counts
   * @return the sum
   */
  MinuteSum plus(MinuteSum other) {
    Map<String, Tally> sum = new TreeMap<>(services);
    other.services.forEach((service, tally) -> sum.merge(service, tally, Tally::plus));
    return new MinuteSum(writers + other.writers, sum);
  }
}
