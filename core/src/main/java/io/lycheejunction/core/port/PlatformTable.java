package io.lycheejunction.core.port;

import io.lycheejunction.core.result.Result;
import java.util.List;
import java.util.Optional;

/**
 * The platform's transactional table service.
 *
 * <p>A failure with {@code STORE_UNAVAILABLE} means that nothing was written; one with {@code
 * STORE_UNKNOWN} means that the write may have taken effect. Keys are ordered as strings.
 */
public interface PlatformTable {

  /**
   * One row.
   *
   * @param key the key
   * @param value the value
   */
  record Row(String key, String value) {}

  /** What became of a conditional write. */
  sealed interface PutOutcome {
    /** The row was absent and is now written. */
    record Written() implements PutOutcome {}

    /**
     * The row existed and is unchanged.
     *
     * @param value the value it has
     */
    record Exists(String value) implements PutOutcome {}
  }

  /**
   * Returns what became of the row, which is written only if its key is absent.
   *
   * @param table the name of the table
   * @param row the row
   * @return the outcome
   */
  Result<PutOutcome> putIfAbsent(String table, Row row);

  /**
   * Returns the row of the key.
   *
   * @param table the name of the table
   * @param key the key
   * @return the row, or empty if it does not exist
   */
  Result<Optional<Row>> get(String table, String key);

  /**
   * Returns the rows after a key, in the order of keys.
   *
   * @param table the name of the table
   * @param afterKey the rows returned have greater keys; the empty string starts at the first
   * @param limit the largest number of rows
   * @return the rows
   */
  Result<List<Row>> scan(String table, String afterKey, int limit);
}
