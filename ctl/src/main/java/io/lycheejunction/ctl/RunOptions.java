package io.lycheejunction.ctl;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The options for running statements and printing their answers.
 *
 * @param json true to print answers as JSON
 * @param dryRun true to show the effect of changes without applying them
 * @param awaitRollout true to wait until all reachable proxies have applied a change
 * @param ifVersion the version that the configuration must have; empty for any
 * @param changeId the identifier of the change to retry; empty for a new change
 * @param newChangeId generates the identifiers of new changes
 */
record RunOptions(
    boolean json,
    boolean dryRun,
    boolean awaitRollout,
    Optional<Long> ifVersion,
    Optional<String> changeId,
    Supplier<String> newChangeId) {
  /** Rejects null components. */
  RunOptions {
    Objects.requireNonNull(ifVersion, "ifVersion is null");
    Objects.requireNonNull(changeId, "changeId is null");
    Objects.requireNonNull(newChangeId, "newChangeId is null");
  }
}
