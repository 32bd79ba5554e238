package io.lycheejunction.ctl;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * How statements are sent and answers are printed.
 *
 * @param json true to print answers as JSON
 * @param dryRun true to show effects only
 * @param awaitRollout true to wait until changes are in force
 * @param ifVersion the version that the configuration must have, if any
 * @param changeId the identifier of a change that is sent again, if it is
 * @param ids gives identifiers for new changes
 */
record Options(
    boolean json,
    boolean dryRun,
    boolean awaitRollout,
    Optional<Long> ifVersion,
    Optional<String> changeId,
    Supplier<String> ids) {
  /** Rejects null components. */
  Options {
    Objects.requireNonNull(ifVersion, "ifVersion is null");
    Objects.requireNonNull(changeId, "changeId is null");
    Objects.requireNonNull(ids, "ids is null");
  }
}
