package io.lycheejunction.gateway.lease;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

/** Reads from the platform's store which primaries are being replaced. */
public interface ReplacedPrimaries {

  /**
   * The replacement of a primary that was started last, of those of one service.
   *
   * @param primary the identifier of the primary, or an empty text if it was not known or is not
   *     replaced any more
   * @param revision the store's revision of the start
   */
  record Replacement(String primary, long revision) {
    /** Rejects null components. */
    public Replacement {
      Objects.requireNonNull(primary, "primary is null");
    }

    /**
     * Returns whether a primary may be replaced by this or an earlier replacement. Earlier ones are
     * not known, so that holds for each primary that claimed its role before this one started.
     *
     * @param known the identifier of the primary
     * @param claimedAtRevision the store's revision of the registration that claims the role
     * @return true if the primary may have been replaced
     */
    boolean mayHaveReplaced(String known, long claimedAtRevision) {
      return primary.isEmpty() || primary.equals(known) || revision > claimedAtRevision;
    }
  }

  /**
   * Reads the replacements that were started last.
   *
   * @param done is called once with the last replacement of each service that ever had one; or with
   *     an empty result if the store does not answer or was restored from a copy a moment ago
   */
  void read(Consumer<Optional<Map<String, Replacement>>> done);
}
