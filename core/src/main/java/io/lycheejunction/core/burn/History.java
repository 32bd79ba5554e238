package io.lycheejunction.core.burn;

import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The counts of all proxies by minute, with gaps where there are none. */
public final class History {
  private static final int MINUTES_AN_HOUR = 60;

  private final NavigableMap<Long, MinuteSum> minutes;

  private History(NavigableMap<Long, MinuteSum> minutes) {
    this.minutes = minutes;
  }

  /**
   * Returns the history of some hours; of an hour given twice the last counts.
   *
   * @param hours the hours
   * @return the history
   */
  public static History of(List<HourSum> hours) {
    NavigableMap<Long, MinuteSum> all = new TreeMap<>();
    for (HourSum hour : hours) {
      hour.minutes().forEach((minute, sum) -> all.put(hour.hour() * MINUTES_AN_HOUR + minute, sum));
    }
    return new History(all);
  }

  /**
   * Returns the services that have counts.
   *
   * @return the names, in order
   */
  public Set<String> services() {
    Set<String> names = new TreeSet<>();
    minutes.values().forEach(sum -> names.addAll(sum.services().keySet()));
    return names;
  }

  /**
   * Returns the counts of a service in a window.
   *
   * @param service the service
   * @param endMinute the first minute after the window, since the epoch
   * @param lengthMinutes the length of the window in minutes
   * @return the sum
   */
  public Tally tally(String service, long endMinute, int lengthMinutes) {
    Tally sum = Tally.empty();
    for (MinuteSum minute : window(endMinute, lengthMinutes).values()) {
      sum = sum.plus(minute.services().getOrDefault(service, Tally.empty()));
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
   * @param service the service
   * @param objective the objective
   * @param endMinute the first minute after the window, since the epoch
   * @param lengthMinutes the length of the window in minutes
   * @return the rate
   */
  public Burn burn(String service, Objective objective, long endMinute, int lengthMinutes) {
    return Burn.of(
        objective,
        tally(service, endMinute, lengthMinutes),
        coveredMinutes(endMinute, lengthMinutes));
  }

  private Map<Long, MinuteSum> window(long endMinute, int lengthMinutes) {
    return minutes.subMap(endMinute - lengthMinutes, endMinute);
  }
}
