package io.lycheejunction.core.port;

import io.lycheejunction.core.result.Result;
import java.util.List;
import java.util.Optional;

/** Client of the platform's object store. */
public interface ObjectStore {

  /**
   * Returns the content of an object.
   *
   * @param name the name of the object, with {@code /} between its parts
   * @return the content, or empty if there is no such object
   */
  Result<Optional<String>> get(String name);

  /**
   * Returns the name of an object after creating or replacing it.
   *
   * @param name the name of the object
   * @param content the new content
   * @return the name of the object
   */
  Result<String> put(String name, String content);

  /**
   * Returns the names of the objects that start with a prefix.
   *
   * @param prefix the prefix of the names
   * @return the names, ordered
   */
  Result<List<String>> list(String prefix);
}
