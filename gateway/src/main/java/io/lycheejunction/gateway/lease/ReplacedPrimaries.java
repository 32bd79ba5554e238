package io.lycheejunction.gateway.lease;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Reads from the platform's store which primaries are being replaced. */
public interface ReplacedPrimaries {

  /**
   * Reads the replacements that were started last.
   *
   * @param done is called once with the identifier of the replaced primary of each service that
   *     ever had one, an empty text if it was not known; or with an empty result if the store does
   *     not answer or was restored from a copy a moment ago
   */
  void read(Consumer<Optional<Map<String, String>>> done);
}
