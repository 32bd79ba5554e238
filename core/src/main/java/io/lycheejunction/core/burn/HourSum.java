package io.lycheejunction.core.burn;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The sum of the request counts of all proxies in one hour.
 *
 * @param hour the hour, in hours since the epoch
 * @param minutes the counts by minute of the hour; a minute of which no process has counts is
 *     absent
 */
public record HourSum(long hour, Map<Integer, MinuteSum> minutes) {

  /** Copies the map. */
  public HourSum {
    minutes = Map.copyOf(minutes);
  }

  /**
   * Returns the sum of the counts of one hour. The order of the list has no effect. If it has
   * several entries of one writer, only the one with the most minutes is used.
   *
   * @param hour the hour, in hours since the epoch
   * @param all the counts by writer; those of other hours are ignored
   * @return the sum
   */
  public static HourSum of(long hour, List<HourRows> all) {
    Map<String, HourRows> byWriter = new TreeMap<>();
    for (HourRows rows : all) {
      if (rows.hour() == hour) {
        byWriter.merge(rows.writer(), rows, HourSum::moreComplete);
      }
    }
    Map<Integer, MinuteSum> minutes = new TreeMap<>();
    for (HourRows rows : byWriter.values()) {
      rows.minutes()
          .forEach((minute, row) -> minutes.merge(minute, new MinuteSum(1, row), MinuteSum::plus));
    }
    return new HourSum(hour, minutes);
  }

  private static HourRows moreComplete(HourRows first, HourRows second) {
    return second.minutes().size() > first.minutes().size() ? second : first;
  }
}
