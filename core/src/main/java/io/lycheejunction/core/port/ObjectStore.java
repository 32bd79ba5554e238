package io.lycheejunction.core.port;

import io.lycheejunction.core.result.Result;
import java.util.List;
import java.util.Optional;

/** The platform's object store. */
public interface ObjectStore {

  /**
   * Returns the content of an object.
   *
   * @param name the name, with {@code /} between its parts
   * @return the content, or empty if there is no such object
   */
  Result<Optional<String>> get(String name);

  /**
   * Returns the name after the object has been written or replaced.
   *
   * @param name the name
   * @param content the new content
   * @return the name
   */
  Result<String> put(String name, String content);

  /**
   * Returns the names that start with a prefix, in order.
   *
   * @param prefix the prefix
   * @return the names
   */
  Result<List<String>> list(String prefix);
}
