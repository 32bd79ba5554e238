package io.lycheejunction.core.burn;

import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The request counts of all proxies by minute; minutes without counts are absent. */
public final class CountHistory {
  private static final int MINUTES_PER_HOUR = 60;

  private final NavigableMap<Long, MinuteCounts> minutes;

  private CountHistory(NavigableMap<Long, MinuteCounts> minutes) {
    this.minutes = minutes;
  }

  /**
   * Returns the history of some hours.
   *
   * @param hours the hours; if a minute occurs twice, the later entry in the list replaces the
   *     earlier one
   * @return the history
   */
  public static CountHistory of(List<HourCounts> hours) {
    NavigableMap<Long, MinuteCounts> byMinute = new TreeMap<>();
    for (HourCounts hour : hours) {
      hour.minutes()
          .forEach((minute, sum) -> byMinute.put(hour.hour() * MINUTES_PER_HOUR + minute, sum));
    }
    return new CountHistory(byMinute);
  }

  /**
   * Returns the services that have counts.
   *
   * @return the names, in alphabetical order
   */
  public Set<String> services() {
    Set<String> names = new TreeSet<>();
    minutes.values().forEach(sum -> names.addAll(sum.services().keySet()));
    return names;
  }

  /**
   * Returns the sum of the counts of a service in a window.
   *
   * @param service the name of the service
   * @param endMinute the first minute after the window, since the epoch
   * @param lengthMinutes the length of the window in minutes
   * @return the sum
   */
  public RequestCounts counts(String service, long endMinute, int lengthMinutes) {
    RequestCounts sum = RequestCounts.empty();
    for (MinuteCounts minute : window(endMinute, lengthMinutes).values()) {
      sum = sum.plus(minute.services().getOrDefault(service, RequestCounts.empty()));
    }
    return sum;
  }

  /**
   * Returns how many minutes of a window have counts.
   *
   * @param endMinute the first minute after the window, since the epoch
   * @param lengthMinutes the length of the window in minutes
   * @return the number of minutes
   */
  public int coveredMinutes(long endMinute, int lengthMinutes) {
    return window(endMinute, lengthMinutes).size();
  }

  /**
   * Returns the burn rate of an objective in a window.
   *
   * @param service the name of the service
   * @param objective the objective
   * @param endMinute the first minute after the window, since the epoch
   * @param lengthMinutes the length of the window in minutes
   * @return the burn rate
   */
  public Burn burn(String service, Objective objective, long endMinute, int lengthMinutes) {
    return Burn.of(
        objective,
        counts(service, endMinute, lengthMinutes),
        coveredMinutes(endMinute, lengthMinutes));
  }

  private Map<Long, MinuteCounts> window(long endMinute, int lengthMinutes) {
    return minutes.subMap(endMinute - lengthMinutes, endMinute);
  }
}
