package io.lycheejunction.core.port;

import io.lycheejunction.core.result.Result;
import java.util.List;
import java.util.Optional;

/**
 * Client of the platform's transactional table service.
 *
 * <p>A failure with {@code STORE_UNAVAILABLE} means that nothing was written; a failure with {@code
 * STORE_UNKNOWN} means that the write may have taken effect. Keys are ordered as strings.
 */
public interface PlatformTable {

  /**
   * A row of a table.
   *
   * @param key the key
   * @param value the value
   */
  record Row(String key, String value) {}

  /** The outcome of a conditional write. */
  sealed interface PutOutcome {
    /** The row was absent and is now written. */
    record Written() implements PutOutcome {}

    /**
     * The row already existed and is unchanged.
     *
     * @param value the value of the existing row
     */
    record Exists(String value) implements PutOutcome {}
  }

  /**
   * Returns the outcome of writing a row on condition that the table has no row with its key.
   *
   * @param table the name of the table
   * @param row the row to write
   * @return whether the row was written or already existed
   */
  Result<PutOutcome> putIfAbsent(String table, Row row);

  /**
   * Returns the row with the given key.
   *
   * @param table the name of the table
   * @param key the key
   * @return the row, or empty if it does not exist
   */
  Result<Optional<Row>> get(String table, String key);

  /**
   * Returns the rows after a key, in key order.
   *
   * @param table the name of the table
   * @param afterKey the key that all returned keys are greater than; the empty string starts at the
   *     first row
   * @param limit the maximum number of rows
   * @return the rows
   */
  Result<List<Row>> scan(String table, String afterKey, int limit);
}
