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
public record HourCounts(long hour, Map<Integer, MinuteCounts> minutes) {

  /** Copies the map. */
  public HourCounts {
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
  public static HourCounts of(long hour, List<WriterHourCounts> all) {
    Map<String, WriterHourCounts> byWriter = new TreeMap<>();
    for (WriterHourCounts rows : all) {
      if (rows.hour() == hour) {
        byWriter.merge(rows.writer(), rows, HourCounts::moreComplete);
      }
    }
    Map<Integer, MinuteCounts> minutes = new TreeMap<>();
    for (WriterHourCounts rows : byWriter.values()) {
      rows.minutes()
          .forEach(
              (minute, row) -> minutes.merge(minute, new MinuteCounts(1, row), MinuteCounts::plus));
    }
    return new HourCounts(hour, minutes);
  }

  private static WriterHourCounts moreComplete(WriterHourCounts first, WriterHourCounts second) {
    return second.minutes().size() > first.minutes().size() ? second : first;
  }
}
