package io.lycheejunction.core.configuration;

import java.util.Objects;

/**
 * One row of the configuration log.
 *
 * @param schema the version of the row format
 * @param id the unique identifier of the change; it is the same for every writer and every attempt
 * @param version the version of the configuration after the change
 * @param acceptedAtMs the wall-clock time at which the change was accepted, in milliseconds since
 *     the epoch
 * @param change the change
 */
public record ChangeRow(int schema, String id, long version, long acceptedAtMs, Change change) {
  /** The version of the row format that this program reads and writes. */
  public static final int SCHEMA = 1;

  /** The maximum size of a row, in characters. */
  public static final int MAX_ROW_CHARS = 16_384;

  private static final String KEY_FORMAT = "%020d";

  /** Rejects null components. */
  public ChangeRow {
    Objects.requireNonNull(id, "id is null");
    Objects.requireNonNull(change, "change is null");
  }

  /**
   * Returns the row key of a version; keys sort in the order of their versions.
   *
   * @param version the version
   * @return the version in decimal, padded with zeros to 20 digits
   */
  public static String key(long version) {
    return String.format(KEY_FORMAT, version);
  }
}
