package io.lycheejunction.core.burn;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * The request counts of one process in one hour.
 *
 * @param writer the identifier of the process, made of its VM and its start time
 * @param hour the hour, in hours since the epoch
 * @param minutes the counts by minute of the hour and by service; a minute without requests has an
 *     empty map
 */
public record WriterHourCounts(
    String writer, long hour, Map<Integer, Map<String, RequestCounts>> minutes) {

  /** Copies the maps. */
  public WriterHourCounts {
    Objects.requireNonNull(writer, "writer is null");
    Objects.requireNonNull(minutes, "minutes is null");
    minutes = Map.copyOf(minutes);
  }

  /**
   * Returns these counts with other counts added to a minute.
   *
   * @param minute the minute of the hour
   * @param counts the counts to add, by service
   * @return the new counts
   */
  public WriterHourCounts plus(int minute, Map<String, RequestCounts> counts) {
    Map<Integer, Map<String, RequestCounts>> next = new TreeMap<>(minutes);
    Map<String, RequestCounts> row = new TreeMap<>(minutes.getOrDefault(minute, Map.of()));
    counts.forEach((service, tally) -> row.merge(service, tally, RequestCounts::plus));
    next.put(minute, Map.copyOf(row));
    return new WriterHourCounts(writer, hour, next);
  }
}
