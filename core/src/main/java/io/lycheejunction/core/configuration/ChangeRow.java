package io.lycheejunction.core.configuration;

import java.util.Objects;

/**
 * One row of the configuration log.
 *
 * @param schema the version of the row's format
 * @param id identifies the change, whoever writes it and how often
 * @param version the version of the configuration after the change
 * @param acceptedAtMs the wall-clock time of the write, in milliseconds since the epoch
 * @param change the change
 */
public record ChangeRow(int schema, String id, long version, long acceptedAtMs, Change change) {
  /** The format that this program writes and reads. */
  public static final int SCHEMA = 1;

  /** The largest row, in characters. */
  public static final int MAX_ROW_CHARS = 16_384;

  private static final String KEY_FORMAT = "%020d";

  /** Rejects null components. */
  public ChangeRow {
    Objects.requireNonNull(id, "id is null");
    Objects.requireNonNull(change, "change is null");
  }

  /**
   * Returns the key of the row of a version, which sorts as the version does.
   *
   * @param version the version
   * @return the key
   */
  public static String key(long version) {
    return String.format(KEY_FORMAT, version);
  }
}
