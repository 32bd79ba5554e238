package io.lycheejunction.core.burn;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The counts of all proxies in one hour.
 *
 * @param hour the hours since the epoch
 * @param minutes the counts by minute of the hour; a minute without any process's row is absent
 */
public record HourSum(long hour, Map<Integer, MinuteSum> minutes) {

  /** Copies the map. */
  public HourSum {
    minutes = Map.copyOf(minutes);
  }

  /**
   * Returns the sum of the rows of one hour; the order has no effect, and of several rows of one
   * writer only those with the most minutes count.
   *
   * @param hour the hours since the epoch
   * @param all the rows; those of other hours are left out
   * @return the sum
   */
  public static HourSum of(long hour, List<HourRows> all) {
    Map<String, HourRows> byWriter = new TreeMap<>();
    for (HourRows rows : all) {
      if (rows.hour() == hour) {
        byWriter.merge(rows.writer(), rows, HourSum::fuller);
      }
    }
    Map<Integer, MinuteSum> minutes = new TreeMap<>();
    for (HourRows rows : byWriter.values()) {
      rows.minutes()
          .forEach((minute, row) -> minutes.merge(minute, new MinuteSum(1, row), MinuteSum::plus));
    }
    return new HourSum(hour, minutes);
  }

  private static HourRows fuller(HourRows a, HourRows b) {
    return b.minutes().size() > a.minutes().size() ? b : a;
  }
}
